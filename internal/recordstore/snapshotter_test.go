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

// objects is an object store in memory.
type objects map[string][]byte

func (o objects) PutObject(_ context.Context, name string, data []byte) error {
	o[name] = data
	return nil
}

func (o objects) GetObject(_ context.Context, name string) ([]byte, error) {
	if data, ok := o[name]; ok {
		return data, nil
	}
	return nil, platform.ErrNotFound
}

// seeded returns a rig whose table holds n records, and its reads so far.
func seeded(t *testing.T, n int) (r *rig, p *standin.Platform) {
	t.Helper()
	r = newRig(nil, 2)
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

// startOnce runs a follower until it has its records, and returns the reads.
func startOnce(t *testing.T, f *recordstore.Follower, p *standin.Platform) int {
	t.Helper()
	before, _ := p.Counts()
	if err := f.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	after, _ := p.Counts()
	return after - before
}

// A start with a snapshot gives the same records with fewer reads, and a
// broken snapshot is passed over.
func TestStartFromSnapshot(t *testing.T) {
	r, p := seeded(t, 5000)
	store := objects{}
	first, second := r.followers[0], r.followers[1]
	first.Objects, second.Objects = store, store
	without := startOnce(t, first, p)
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
	with := startOnce(t, second, p)
	t.Logf("reads without snapshot %d, with %d", without, with)
	if with >= without || second.Current().Revision != 5001 {
		t.Errorf("got %d reads, revision %d; want fewer than %d and revision 5001", with, second.Current().Revision, without)
	}
	if diff := cmp.Diff(r.followers[0].Current().Records, second.Current().Records); diff != "" {
		t.Errorf("records (-first +second):\n%s", diff)
	}
	third := newFollower(r, store)
	store["records-snapshot"] = []byte("broken")
	startOnce(t, third, p)
	if third.Current().Revision != 5001 {
		t.Errorf("a broken snapshot left the host at revision %d", third.Current().Revision)
	}
}

func newFollower(r *rig, store objects) *recordstore.Follower {
	return &recordstore.Follower{
		Table: r.direct, Objects: store, Peers: noPeers{}, Clock: r.clock, Poll: time.Second, CutOffAfter: 8 * time.Second,
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
}
