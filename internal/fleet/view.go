// Package fleet keeps what one host knows of the targets: which there are,
// where they are reached, which weights they hold and which are leaving.
package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// returnGrace is how long targets that vanished from the list while the table
// service was away may take to come back: the time in which live targets
// register again, from the service's contract.
const returnGrace = 2 * time.Second

// removalShare is the part of LeaveWithin after which a removal that was read
// behind the first answer of the returned service holds. The rest is for requests
// on their way.
const removalShare = 0.75

// firstAnswer is the time in which the first answer of the returned service is
// taken in. What it removes may have lapsed while the service was away.
const firstAnswer = 50 * time.Millisecond

// Target is one process that runs requests.
type Target struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool
	// Versions are the weights it holds, by model.
	Versions map[string]int64
	// Started is the start of its process in Unix milliseconds, 0 if unknown.
	Started int64
}

// View holds the targets that are listed. It is safe for concurrent use.
type View struct {
	// LeaveWithin is the time after which a target that leaves gets no request any
	// more. It is set before the first use.
	LeaveWithin time.Duration

	mu      sync.Mutex
	targets map[string]Target
	// missing holds the targets that may register again, and when each removal
	// was read.
	missing map[string]time.Time
	// graceUntil is set while the table service has just returned.
	graceUntil time.Time
	backAt     time.Time
	away       bool
	known      bool
	changed    chan struct{}
}

// NewView returns an empty view.
func NewView() *View {
	return &View{targets: map[string]Target{}, missing: map[string]time.Time{}, changed: make(chan struct{}, 1)}
}

// Changed receives a value after one or more changes.
func (v *View) Changed() <-chan struct{} { return v.changed }

func (v *View) tell() {
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// Loaded reports whether any target was ever listed. An empty list is no sign
// that requests can be served.
func (v *View) Loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.known
}

// TableUnavailable notes that the table service gives no answer.
func (v *View) TableUnavailable() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away = true
}

// TableAvailable notes that the table service answers. Targets that vanished meanwhile
// get some time to register again.
func (v *View) TableAvailable(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.away {
		v.away = false
		v.backAt, v.graceUntil = now, now.Add(returnGrace)
	}
}

// Put notes a listed target and reports whether anything is new. What an
// earlier process of the same id told late is ignored.
func (v *View) Put(t Target) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known = true
	delete(v.missing, t.ID)
	old, known := v.targets[t.ID]
	if known && t.Started < old.Started {
		return false
	}
	v.targets[t.ID] = t
	same := known && old.Service == t.Service && old.Address == t.Address && old.Leaving == t.Leaving &&
		old.Started == t.Started && old.Slots == t.Slots && maps.Equal(old.Versions, t.Versions)
	if !same {
		v.tell()
	}
	return !same
}

// Remove notes that a target is no longer listed. It reports whether the target
// is gone at once; otherwise Expire removes it unless it returns.
func (v *View) Remove(now time.Time, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.targets[id]; !known {
		return false
	}
	if v.away || now.Before(v.graceUntil) {
		v.missing[id] = now
		return false
	}
	delete(v.targets, id)
	v.tell()
	return true
}

// Replace takes in the whole list.
func (v *View) Replace(now time.Time, targets []Target) (gone []string) {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
		v.Put(t)
	}
	v.mu.Lock()
	ids := slices.Sorted(maps.Keys(v.targets))
	v.mu.Unlock()
	for _, id := range ids {
		if !listed[id] && v.Remove(now, id) {
			gone = append(gone, id)
		}
	}
	return gone
}

// Expire removes targets that didn't return in time and names them.
func (v *View) Expire(now time.Time) (gone []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.away {
		return nil
	}
	for id, read := range v.missing {
		kept := time.Duration(removalShare * float64(v.LeaveWithin))
		late := read.After(v.backAt.Add(firstAnswer)) && !now.Before(read.Add(kept))
		if now.Before(v.graceUntil) && !late {
			continue
		}
		delete(v.missing, id)
		delete(v.targets, id)
		gone = append(gone, id)
	}
	slices.Sort(gone)
	if len(gone) > 0 {
		v.tell()
	}
	return gone
}

// Targets returns all listed targets in the order of their ids.
func (v *View) Targets() []Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := slices.Collect(maps.Values(v.targets))
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Find returns one target.
func (v *View) Find(id string) (Target, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t, ok := v.targets[id]
	return t, ok
}
