package retry

import (
	"slices"
	"time"
)

// record contains what is known of one key.
type record struct {
	// part is set for a part of prompts.
	part bool
	// crashes are the latest crashes since answeredAt, the earliest first. withdrawn are
	// those that were attributed to another request.
	crashes, withdrawn []crash
	// answeredAt is when a request with the key was last answered, zero if none is known.
	answeredAt time.Time
	// seenAt is when a request with the key last crashed a target, was answered or was
	// refused.
	seenAt time.Time
	// probedAt is when this host last let a request through although the key is blamed.
	probedAt time.Time
}

type crash struct {
	target string
	at     time.Time
}

// same reports whether c and d are the same crash.
func (c crash) same(d crash) bool {
	return c.target == d.target && c.at.Sub(d.at).Abs() < sameCrashWithin
}

// covers reports whether r contains all crashes of other.
func (r *record) covers(other *record) bool {
	for _, c := range other.crashes {
		if !r.contains(c) {
			return false
		}
	}
	return true
}

func (r *record) contains(c crash) bool { return slices.ContainsFunc(r.crashes, c.same) }

// moments returns the number of moments at which targets crashed.
func moments(crashes []crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(last) >= momentGap {
			n++
			last = c.at
		}
	}
	return n
}

// addCrash adds a crash after the last answer, unless it is known.
func (r *record) addCrash(c crash) {
	if !c.at.After(r.answeredAt) || slices.ContainsFunc(r.withdrawn, c.same) {
		return
	}
	if i := slices.IndexFunc(r.crashes, c.same); i >= 0 {
		if c.at.Before(r.crashes[i].at) {
			r.crashes[i].at = c.at
		}
		return
	}
	r.insertCrash(c)
}

func (r *record) insertCrash(c crash) {
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashes):]
}

// addAnswer applies an answer reported by a peer.
func (r *record) addAnswer(at time.Time) {
	later := slices.DeleteFunc(slices.Clone(r.crashes), func(c crash) bool { return !c.at.After(at) })
	if at.Sub(r.answeredAt) > reportTolerance || len(later) < len(r.crashes) {
		r.answeredAt, r.crashes = at, later
	}
}
