// Package reachability decides whether a host has lost its path to all targets. It does no I/O,
// reads no clock and starts no goroutine.
package reachability

import "time"

const (
	// minTargets is the number of targets to which connections must have failed, less if fewer
	// are listed. Some targets may be down at the same time.
	minTargets = 3
	// minFailing is the shortest time for which all connections must have failed.
	minFailing = 200 * time.Millisecond
)

// Tracker records whether connections to targets are opened. The zero value is ready to use. It
// is not safe for concurrent use.
type Tracker struct {
	// failed contains the addresses to which connections have failed since the last one was
	// opened, and since when the first of these failures.
	failed map[string]bool
	since  time.Time
	lost   bool
}

// Opened records that a connection was opened. It reports whether the path was lost before.
func (t *Tracker) Opened() (regained bool) {
	regained = t.lost
	clear(t.failed)
	t.lost = false
	return regained
}

// Failed records that a connection to an address, one of those of the listed targets, could not
// be opened. It reports whether the path to all targets is lost now and was not before.
func (t *Tracker) Failed(now time.Time, address string, listed int) (lost bool) {
	if t.failed == nil {
		t.failed = map[string]bool{}
	}
	if len(t.failed) == 0 {
		t.since = now
	}
	t.failed[address] = true
	if t.lost || len(t.failed) < min(minTargets, listed) || now.Sub(t.since) < minFailing {
		return false
	}
	t.lost = true
	return true
}

// Lost reports whether the path to all targets is lost.
func (t *Tracker) Lost() bool { return t.lost }

// FailedTargets returns the number of targets to which connections have failed since the last one
// was opened.
func (t *Tracker) FailedTargets() int { return len(t.failed) }
