package platform

import (
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// age returns the time since completeAt, which is long if that isn't known. The caller must hold
// f.mu.
func (f *Follower) age() time.Duration { return f.steady().Now().Sub(f.completeAt) }

func (f *Follower) steady() clock.Clock {
	if f.Steady == nil {
		return f.Clock
	}
	return f.Steady
}

// State returns the position of the newest row up to which the copy is complete, and its age.
func (f *Follower) State() CopyState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return CopyState{Position: f.complete(), Age: f.age(), AgeKnown: !f.completeAt.IsZero()}
}

// complete returns the position of the newest row up to which the copy is complete, or an equivalent
// one. Peers that know an earlier one ask for the rows after it. The caller must hold f.mu.
func (f *Follower) complete() Position {
	if f.newest.After(f.after) {
		return f.after
	}
	return f.newest
}

// Confirm records that a complete copy at a position, such as that of a peer, includes every
// change up to at on Steady. So does this copy, unless it is older.
func (f *Follower) Confirm(p Position, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && p.Era == f.after.Era && !p.After(f.after) {
		f.raiseCompleteAt(at)
	}
}

// raiseCompleteAt records that the copy includes every change up to at. The caller must hold f.mu.
func (f *Follower) raiseCompleteAt(at time.Time) {
	if at.After(f.completeAt) {
		f.completeAt = at
	}
}

// raiseNewest records that there is a row at a position. The caller must hold f.mu.
func (f *Follower) raiseNewest(to Position) {
	if to.After(f.newest) {
		f.newest = to
	}
}

// raiseAfter records that the copy is complete up to a version of its era. The caller must hold f.mu.
func (f *Follower) raiseAfter(version int64) {
	if version > f.after.Version {
		f.after.Version, f.aheadSince = version, time.Time{}
	}
}
