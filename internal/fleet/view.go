// Package fleet maintains one host's view of the targets: which targets are
// listed, their addresses, the weights they have loaded, and which are leaving.
package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// registrationGrace is the time after an outage of the table service in which targets
// may register again if their entries expired during the outage. The contract of the
// service requires targets that are alive to register within this time.
const registrationGrace = 2 * time.Second

// removalFactor is a fraction of LeaveTimeout. After an outage, removals that are
// received later than the first answer take effect after this fraction at the latest.
// The rest of LeaveTimeout is for requests that are already on their way.
const removalFactor = 0.75

// firstAnswerWindow is the time after an outage in which removals are attributed to
// the first answer of the service. Entries that this answer removes may have expired
// during the outage.
const firstAnswerWindow = 50 * time.Millisecond

// Target is one process that runs requests.
type Target struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool
	// Build is the version of the software of the target, as opposed to its weights.
	Build string
	// Versions are the loaded weight versions, by model.
	Versions map[string]int64
	// Started is the start time of the process in Unix milliseconds, 0 if unknown.
	Started int64
	// ColdFor is how long the target is still cold according to its row, counted from the write of
	// the row. WarmAt is when the target is warm as far as this host knows, the zero time if it
	// isn't cold.
	ColdFor time.Duration
	WarmAt  time.Time
}

// isSame reports whether nothing has changed but the failure domain.
func (t *Target) isSame(other *Target) bool {
	return t.Service == other.Service && t.Address == other.Address && t.Leaving == other.Leaving &&
		t.Started == other.Started && t.Slots == other.Slots && t.Build == other.Build && t.WarmAt.Equal(other.WarmAt) && maps.Equal(t.Versions, other.Versions)
}

// View is the set of listed targets. It is safe for concurrent use.
type View struct {
	// LeaveTimeout is the time in which a leaving target must stop getting requests. It
	// only limits the delay of removals after an outage of the table service, see Expire.
	// Otherwise a leaving target gets no more requests as soon as its row is read.
	// LeaveTimeout is set before the first use.
	LeaveTimeout time.Duration

	mu      sync.Mutex
	targets map[string]Target
	// pendingRemovals are the targets that may register again, with the time at
	// which each removal was received.
	pendingRemovals map[string]time.Time
	// leaving maps targets that said that they are leaving to the start time of the
	// process that said so.
	leaving map[string]int64
	// availableAt is when the table service became available again after the last
	// outage, graceUntil the end of the registration grace that starts then.
	graceUntil  time.Time
	availableAt time.Time
	// unavailable is set during an outage of the table service.
	unavailable bool
	loaded      bool
	changed     chan struct{}
	// generation counts the changes.
	generation uint64
	// list contains the targets, sorted by id, and ids their ids. They are nil if they have to be built.
	// A change of a target leaves the ids, which take the most time to sort.
	list []Target
	ids  []string
}

// NewView returns an empty view.
func NewView() *View {
	return &View{targets: map[string]Target{}, pendingRemovals: map[string]time.Time{}, leaving: map[string]int64{}, changed: make(chan struct{}, 1)}
}

// Changed returns a channel that receives a value after one or more changes.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Generation returns a number that is different after each change.
func (v *View) Generation() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.generation
}

// notify records a change. The caller must hold v.mu.
func (v *View) notify() {
	v.generation++
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// Loaded reports whether any target has ever been listed. An empty list doesn't
// show that requests can be served.
func (v *View) Loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.loaded
}

// TableUnavailable records that the table service doesn't answer.
func (v *View) TableUnavailable() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unavailable = true
}

// TableAvailable records that the table service answers. Targets that were removed
// during an outage have registrationGrace to register again.
func (v *View) TableAvailable(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unavailable {
		v.unavailable = false
		v.availableAt, v.graceUntil = now, now.Add(registrationGrace)
	}
}

// MarkLeaving records that a process of a target said that it is leaving, and reports
// whether that is new. Rows of the same process no longer make the target usable.
func (v *View) MarkLeaving(id string, started int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	t, known := v.targets[id]
	if !known || t.Started != started || t.Leaving {
		return false
	}
	v.leaving[id] = started
	t.Leaving = true
	v.targets[id] = t
	v.list = nil
	v.notify()
	return true
}

// Put adds or updates a listed target and reports whether it changed. A change of
// FailureDomain alone doesn't count. A late update from an earlier process with the
// same id is ignored. A process that was leaving stays so.
func (v *View) Put(t Target) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loaded = true
	old, known := v.targets[t.ID]
	if known && t.Started < old.Started {
		return false
	}
	delete(v.pendingRemovals, t.ID)
	if started, said := v.leaving[t.ID]; said && started == t.Started {
		t.Leaving = true
	} else {
		delete(v.leaving, t.ID)
	}
	if t.Leaving && t.Started != 0 {
		v.leaving[t.ID] = t.Started
	}
	v.targets[t.ID] = t
	v.list = nil
	if !known {
		v.ids = nil
	}
	same := known && old.isSame(&t)
	if !same {
		v.notify()
	}
	return !same
}

// Remove records that a target is no longer listed. It reports whether the target
// was removed at once. Otherwise Expire removes it unless it registers again.
func (v *View) Remove(now time.Time, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.targets[id]; !known {
		return false
	}
	if v.unavailable || now.Before(v.graceUntil) {
		v.pendingRemovals[id] = now
		return false
	}
	v.forget(id)
	v.notify()
	return true
}

// forget deletes a target. The caller must hold v.mu.
func (v *View) forget(id string) {
	v.list, v.ids = nil, nil
	delete(v.targets, id)
	delete(v.leaving, id)
}

// Replace applies the full list of targets and returns the ids of the removed
// targets.
func (v *View) Replace(now time.Time, targets []Target) (removed []string) {
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
			removed = append(removed, id)
		}
	}
	return removed
}

// Expire removes the targets that didn't register again in time and returns their
// ids.
func (v *View) Expire(now time.Time) (removed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unavailable {
		return nil
	}
	for id, removedAt := range v.pendingRemovals {
		delay := time.Duration(removalFactor * float64(v.LeaveTimeout))
		due := removedAt.After(v.availableAt.Add(firstAnswerWindow)) && !now.Before(removedAt.Add(delay))
		if now.Before(v.graceUntil) && !due {
			continue
		}
		delete(v.pendingRemovals, id)
		v.forget(id)
		removed = append(removed, id)
	}
	slices.Sort(removed)
	if len(removed) > 0 {
		v.notify()
	}
	return removed
}

// Targets returns all listed targets, sorted by id. Callers share the list and must not
// change it.
func (v *View) Targets() []Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.list == nil {
		if v.ids == nil {
			v.ids = slices.Sorted(maps.Keys(v.targets))
		}
		v.list = make([]Target, len(v.ids))
		for i, id := range v.ids {
			v.list[i] = v.targets[id]
		}
	}
	return v.list
}

// Find returns the target with an id.
func (v *View) Find(id string) (Target, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t, ok := v.targets[id]
	return t, ok
}
