package recordstore_test

import (
	"context"
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/standin"
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
