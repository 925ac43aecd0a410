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

// noPeers is the view of a host that is alone.
type noPeers struct{}

func (noPeers) Catchup(context.Context, int64) (recordstore.Catchup, error) {
	return recordstore.Catchup{}, errors.New("no peers")
}
func (noPeers) HighestRevision() int64            { return 0 }
func (noPeers) ContactAge() (time.Duration, bool) { return 0, false }
func (noPeers) ReachesMajority() bool {
	return false
}

// rig is a set of hosts that follow and change the same records.
type rig struct {
	clock     *clock.Fake
	direct    *standin.DirectTable
	followers []*recordstore.Follower
	writers   []*recordstore.Writer
	highest   []int64
}

func newRig(next func() standin.Outcome, hosts int) *rig {
	r := &rig{clock: &clock.Fake{}}
	r.clock.Advance(time.Hour)
	platform := standin.NewPlatform(r.clock)
	r.direct = &standin.DirectTable{Platform: platform}
	faulty := &standin.DirectTable{Platform: platform, Next: next}
	for range hosts {
		f := &recordstore.Follower{
			Table: faulty, Peers: noPeers{}, Clock: r.clock, Poll: time.Second, CutOffAfter: 8 * time.Second,
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

// Operators race while answers are lost. Each accepted change stands in the
// history exactly once, one of two changes on the same base wins, and no host
// ever goes back.
func TestRecordsNeverRevert(t *testing.T) {
	steps := 0
	defer func() { t.Logf("%d steps", steps) }()
	rapid.Check(t, func(t *rapid.T) {
		faulty := rapid.SampledFrom([]standin.Outcome{
			standin.Answered, standin.Answered, standin.Answered, standin.Answered, standin.Answered, standin.Answered,
			standin.Refused, standin.AnswerLost, standin.RequestLost,
		})
		r := newRig(func() standin.Outcome { return faulty.Draw(t, "table") }, 3)
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
					t.Fatalf("a change on the stale base %d was accepted", base)
				}
				if by, taken := accepted[revision]; taken {
					t.Fatalf("revision %d was accepted twice, before by %s", revision, by)
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
				bases[name] = r.baseOf(t, name)
			}
			r.checkForward(t)
		}
		r.checkHistory(t, accepted)
	})
}

// baseOf reads the revision of a record behind the faults.
func (r *rig) baseOf(t *rapid.T, name string) int64 {
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

func (r *rig) checkForward(t *rapid.T) {
	for i, f := range r.followers {
		if f.Current().Revision < r.highest[i] {
			t.Fatalf("host %d went back from %d to %d", i, r.highest[i], f.Current().Revision)
		}
		r.highest[i] = f.Current().Revision
	}
}

func (r *rig) checkHistory(t *rapid.T, accepted map[int64]string) {
	writer := &recordstore.Writer{Table: r.direct, Clock: r.clock}
	entries, err := writer.History(context.Background(), 0, 1000)
	if err != nil {
		t.Fatal(err)
	}
	nonces := map[string]bool{}
	for i, entry := range entries {
		if entry.Revision != int64(i+1) {
			t.Fatalf("history has revision %d at place %d", entry.Revision, i+1)
		}
		if nonces[entry.Nonce] {
			t.Fatalf("change %s stands in the history twice", entry.Operator)
		}
		nonces[entry.Nonce] = true
		if by, ok := accepted[entry.Revision]; ok && by != entry.Operator {
			t.Fatalf("revision %d was accepted for %s but is by %s", entry.Revision, by, entry.Operator)
		}
	}
	if len(accepted) > len(entries) {
		t.Fatalf("%d changes were accepted, the history has %d", len(accepted), len(entries))
	}
}

// A record of a schema that isn't known keeps its last good state.
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
		t.Fatalf("got findings %v, model %+v, revision %d", findings, set.Models["letters"], set.Revision)
	}
}
