package warmup

import (
	"maps"
	"slices"
	"time"
)

// Targets are the targets that are cold, and what a host may send to them. The zero value is ready
// to use. It is not safe for concurrent use.
type Targets struct {
	targets map[string]*coldTarget
}

// coldTarget is a process of a target that is cold.
type coldTarget struct {
	started   int64
	warmAt    time.Time
	limit     Limit
	allowance Allowance
}

// Set records that the process of a target that started at a time, in Unix milliseconds, is cold
// until warmAt, and what it takes. It reports whether the process was not known to be cold. The host
// has saved up no requests for a process that is new.
func (t *Targets) Set(now time.Time, name string, started int64, warmAt time.Time, l Limit) bool {
	known := t.targets[name]
	if known != nil && known.started == started {
		known.warmAt, known.limit = warmAt, l
		return false
	}
	if t.targets == nil {
		t.targets = map[string]*coldTarget{}
	}
	t.targets[name] = &coldTarget{started: started, warmAt: warmAt, limit: l, allowance: Allowance{at: now}}
	return true
}

// Expire removes the targets that are warm, and returns their names.
func (t *Targets) Expire(now time.Time) []string {
	var warm []string
	for name, known := range t.targets {
		if !now.Before(known.warmAt) {
			warm = append(warm, name)
			delete(t.targets, name)
		}
	}
	slices.Sort(warm)
	return warm
}

// Remove removes a target.
func (t *Targets) Remove(name string) { delete(t.targets, name) }

// Len returns the number of targets that are cold.
func (t *Targets) Len() int { return len(t.targets) }

// Names returns the names of the targets that are cold, sorted.
func (t *Targets) Names() []string { return slices.Sorted(maps.Keys(t.targets)) }

// Cold reports whether a process of a target is cold.
func (t *Targets) Cold(now time.Time, name string, started int64) bool {
	known := t.targets[name]
	return known != nil && known.started == started && now.Before(known.warmAt)
}

// WarmAt returns when a target is warm, or the zero time if it isn't cold.
func (t *Targets) WarmAt(name string) time.Time {
	if known := t.targets[name]; known != nil {
		return known.warmAt
	}
	return time.Time{}
}

// Wait returns how long the host has to wait before its next request to a target, 0 if it may send
// one now.
func (t *Targets) Wait(now time.Time, name string, s Share) time.Duration {
	known := t.targets[name]
	if known == nil || !now.Before(known.warmAt) {
		return 0
	}
	return min(known.warmAt.Sub(now), known.allowance.Wait(now, known.limit, s))
}

// Take grants a request to a target and reports whether it may be sent now.
func (t *Targets) Take(now time.Time, name string, s Share) bool {
	known := t.targets[name]
	if known == nil || !now.Before(known.warmAt) {
		return true
	}
	return known.allowance.Take(now, known.limit, s)
}

// Count counts a request to a target that is sent whether or not it may be.
func (t *Targets) Count(now time.Time, name string, s Share) {
	if known := t.targets[name]; known != nil {
		known.allowance.Count(now, known.limit, s)
	}
}
