package recordstore_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/internal/standin"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// noPeers is the PeerProvider of a host without peers.
type noPeers struct{}

func (noPeers) Catchup(context.Context, int64) (recordstore.Catchup, error) {
	return recordstore.Catchup{}, errors.New("no peers")
}
func (noPeers) HighestRevision() int64            { return 0 }
func (noPeers) ContactAge() (time.Duration, bool) { return 0, false }
func (noPeers) ReachesMajority() bool {
	return false
}

// cluster is a set of hosts that follow and change the same records.
type cluster struct {
	clock     *clock.Fake
	direct    *standin.DirectTable
	followers []*recordstore.Follower
	writers   []*recordstore.Writer
	highest   []int64
}

func newCluster(next func() standin.Outcome, hosts int) *cluster {
	r := &cluster{clock: &clock.Fake{}}
	r.clock.Advance(time.Hour)
	platform := standin.NewPlatform(r.clock)
	r.direct = &standin.DirectTable{Platform: platform}
	faulty := &standin.DirectTable{Platform: platform, Next: next}
	for range hosts {
		f := &recordstore.Follower{
			Table: faulty, Peers: noPeers{}, Clock: r.clock, Steady: r.clock, Poll: time.Second, CutOffAfter: 8 * time.Second,
			Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		}
		r.followers = append(r.followers, f)
		r.writers = append(r.writers, &recordstore.Writer{Table: faulty, Follower: f, Clock: r.clock})
		r.highest = append(r.highest, 0)
	}
	return r
}

func modelRecord(name string, tokens int) record.Record {
	spec, err := json.Marshal(record.Model{ContextTokens: tokens})
	if err != nil {
		panic(err)
	}
	return record.Record{Kind: record.KindModel, Schema: 1, Name: name, Spec: spec}
}

// Operators change records on several hosts, some of them on an outdated base, while
// answers are lost. Each accepted change must be in the history exactly once, only one
// of two changes on the same base may be accepted, and no host may return to a lower
// revision.
func TestRecordsNeverRevert(t *testing.T) {
	steps := 0
	defer func() { t.Logf("%d steps", steps) }()
	rapid.Check(t, func(t *rapid.T) {
		faulty := rapid.SampledFrom([]standin.Outcome{
			standin.Answered, standin.Answered, standin.Answered, standin.Answered, standin.Answered, standin.Answered,
			standin.Refused, standin.AnswerLost, standin.RequestLost,
		})
		r := newCluster(func() standin.Outcome { return faulty.Draw(t, "table") }, 3)
		bases := map[string]int64{}
		accepted := map[int64]string{}
		ctx := context.Background()
		for step := range rapid.IntRange(10, 40).Draw(t, "steps") {
			steps++
			host := rapid.IntRange(0, 2).Draw(t, "host")
			name := rapid.SampledFrom([]string{"letters", "notes"}).Draw(t, "record")
			base := bases[name]
			if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
				base = max(0, base-1)
			}
			change := record.Change{Record: modelRecord(name, step+1)}
			revision, err := r.writers[host].Apply(ctx, recordstore.Amendment{Operator: fmt.Sprint(step), Change: change, BasedOn: base})
			var conflict *recordstore.ConflictError
			switch {
			case err == nil:
				if base != bases[name] {
					t.Fatalf("a change on the outdated base %d was accepted", base)
				}
				if by, found := accepted[revision]; found {
					t.Fatalf("revision %d was accepted twice, first for operator %s", revision, by)
				}
				accepted[revision] = fmt.Sprint(step)
				bases[name] = revision
				if r.followers[host].Current().Revision < revision {
					t.Fatalf("revision %d is accepted but not in force on its host", revision)
				}
			case errors.As(err, &conflict):
				if base == bases[name] {
					t.Fatalf("a change on the present base was refused: %v", err)
				}
			default:
				bases[name] = r.recordRevision(t, name)
			}
			r.checkNoRevert(t)
		}
		r.checkHistory(t, accepted)
	})
}

// recordRevision reads the revision of a record over a connection without faults.
func (r *cluster) recordRevision(t *rapid.T, name string) int64 {
	row, found, err := r.direct.Get(context.Background(), "record", record.Key(record.KindModel, name))
	if err != nil || !found {
		return 0
	}
	var stored recordstore.StoredRecord
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		t.Fatal(err)
	}
	return stored.Revision
}

func (r *cluster) checkNoRevert(t *rapid.T) {
	for i, f := range r.followers {
		if f.Current().Revision < r.highest[i] {
			t.Fatalf("host %d reverted from revision %d to %d", i, r.highest[i], f.Current().Revision)
		}
		r.highest[i] = f.Current().Revision
	}
}

func (r *cluster) checkHistory(t *rapid.T, accepted map[int64]string) {
	writer := &recordstore.Writer{Table: r.direct, Clock: r.clock}
	entries, err := writer.History(context.Background(), 0, 1000)
	if err != nil {
		t.Fatal(err)
	}
	nonces := map[string]bool{}
	for i, entry := range entries {
		if entry.Revision != int64(i+1) {
			t.Fatalf("history has revision %d at position %d", entry.Revision, i+1)
		}
		if nonces[entry.Nonce] {
			t.Fatalf("the change of operator %s is in the history twice", entry.Operator)
		}
		nonces[entry.Nonce] = true
		if by, ok := accepted[entry.Revision]; ok && by != entry.Operator {
			t.Fatalf("revision %d was accepted for operator %s, the history has operator %s", entry.Revision, by, entry.Operator)
		}
	}
	if len(accepted) > len(entries) {
		t.Fatalf("%d changes were accepted, the history has %d", len(accepted), len(entries))
	}
}

// A host must keep the last good state of a record whose schema it doesn't know, for
// example because a newer version wrote the record.
func TestUnknownSchemaKeepsLastGoodState(t *testing.T) {
	good := modelRecord("letters", 100)
	set, findings := record.NewSet().With(1, []record.Change{{Record: good}})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	newer := good
	newer.Schema = 9
	set, findings = set.With(2, []record.Change{{Record: newer}})
	if len(findings) != 1 || set.Models["letters"].ContextTokens != 100 || set.Revision != 2 {
		t.Fatalf("got findings %v, model %+v, revision %d; want one finding, 100 context tokens, revision 2", findings, set.Models["letters"], set.Revision)
	}
}
