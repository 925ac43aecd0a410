package recordstore_test

import (
	"context"
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/platform"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/internal/standin"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// A host whose time of day goes back must not take its last contact with the table service
// for a recent one.
func TestClockStepDoesNotProlongRecords(t *testing.T) {
	r := newCluster(func() standin.Outcome { return standin.Answered }, 1)
	f := r.followers[0]
	steady := &clock.Fake{}
	steady.Advance(time.Hour)
	f.Steady = steady
	if err := f.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !f.RecentEnough() {
		t.Fatal("right after the load the records are not recent enough")
	}
	r.clock.Advance(-time.Hour)
	steady.Advance(f.CutOffAfter + time.Second)
	if f.RecentEnough() {
		t.Errorf("the records are recent enough %s after the last contact, want at most %s", f.CutOffAfter+time.Second, f.CutOffAfter)
	}
	if age, known := f.ContactAge(); !known || age != f.CutOffAfter+time.Second {
		t.Errorf("got age %s, %t of the last contact, want %s", age, known, f.CutOffAfter+time.Second)
	}
}

// A host that could not read the changes told its peers of a contact, and they took older records for recent.
func TestContactCountsOnceChangesAreRead(t *testing.T) {
	r := newCluster(func() standin.Outcome { return standin.Answered }, 2)
	ctx := context.Background()
	if _, err := r.writers[0].Apply(ctx, recordstore.Amendment{Operator: "op", Change: record.Change{Record: modelRecord("letters", 1)}}); err != nil {
		t.Fatal(err)
	}
	f := r.followers[1]
	f.Table = noHistory{f.Table}
	ctx, cancel := context.WithCancel(ctx)
	cancel() // Load then tries once.
	_ = f.Load(ctx)
	if age, known := f.ContactAge(); known {
		t.Errorf("a contact of %v ago is known at revision %d, want none", age, f.Current().Revision)
	}
}

// noHistory is a table service that doesn't answer reads of changes.
type noHistory struct{ recordstore.TableProvider }

func (t noHistory) Scan(ctx context.Context, s platform.Scan) ([]platform.Row, error) {
	if s.Table == "history" {
		return nil, platform.ErrUnavailable
	}
	return t.TableProvider.Scan(ctx, s)
}
