package recordstore_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/internal/standin"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// memoryObjects is an object store in memory.
type memoryObjects map[string][]byte

func (o memoryObjects) PutObject(_ context.Context, name string, data []byte) error {
	o[name] = data
	return nil
}

func (o memoryObjects) GetObject(_ context.Context, name string) ([]byte, error) {
	if data, ok := o[name]; ok {
		return data, nil
	}
	return nil, platform.ErrNotFound
}

// newSeededCluster returns a cluster whose table contains n records, and its
// platform.
func newSeededCluster(t *testing.T, n int) (r *cluster, p *standin.Platform) {
	t.Helper()
	r = newCluster(nil, 2)
	var records []record.Record
	for i := range n {
		records = append(records, modelRecord(fmt.Sprintf("model-%05d", i), i+1))
	}
	p = r.direct.Platform
	if err := recordstore.Seed(p.PutRow, records, time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	return r, p
}

// countLoadReads loads the records of a follower and returns the number of reads.
func countLoadReads(t *testing.T, f *recordstore.Follower, p *standin.Platform) int {
	t.Helper()
	before, _ := p.Counts()
	if err := f.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	after, _ := p.Counts()
	return after - before
}

// A host that loads from a snapshot must get the same records as one that reads them
// all, with fewer reads. A broken snapshot must be ignored.
func TestLoadFromSnapshot(t *testing.T) {
	r, p := newSeededCluster(t, 5000)
	store := memoryObjects{}
	first, second := r.followers[0], r.followers[1]
	first.Objects, second.Objects = store, store
	withoutSnapshot := countLoadReads(t, first, p)
	snapshots := &recordstore.Snapshotter{
		Objects: store, Follower: first, Clock: r.clock, Every: time.Second, IsOwner: func(string) bool { return true },
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
	snapshots.Write(context.Background())
	if len(store) != 1 {
		t.Fatal("no snapshot was written")
	}
	if _, err := r.writers[0].Apply(context.Background(), recordstore.Amendment{Operator: "a", Change: record.Change{Record: modelRecord("newest", 1)}}); err != nil {
		t.Fatal(err)
	}
	withSnapshot := countLoadReads(t, second, p)
	t.Logf("reads without snapshot %d, with %d", withoutSnapshot, withSnapshot)
	if withSnapshot >= withoutSnapshot || second.Current().Revision != 5001 {
		t.Errorf("got %d reads, revision %d; want fewer than %d and revision 5001", withSnapshot, second.Current().Revision, withoutSnapshot)
	}
	if diff := cmp.Diff(r.followers[0].Current().Records, second.Current().Records); diff != "" {
		t.Errorf("records (-first +second):\n%s", diff)
	}
	third := newFollower(r, store)
	store["records-snapshot"] = []byte("broken")
	countLoadReads(t, third, p)
	if third.Current().Revision != 5001 {
		t.Errorf("with a broken snapshot: got revision %d, want 5001", third.Current().Revision)
	}
}

func newFollower(r *cluster, store memoryObjects) *recordstore.Follower {
	return &recordstore.Follower{
		Table: r.direct, Objects: store, Peers: noPeers{}, Clock: r.clock, Steady: r.clock, Poll: time.Second, CutOffAfter: 8 * time.Second,
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
}
