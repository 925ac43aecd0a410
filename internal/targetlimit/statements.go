package targetlimit

import (
	"cmp"
	"slices"
	"time"
)

// Statement is what a process of a target has stated about its limit.
type Statement struct {
	Target string
	// Started is the start time of the process in Unix milliseconds, 0 if unknown.
	Started int64
	// Limited reports whether there is a limit. PerSecond is the number of calls that the target
	// takes per second from all hosts together, or of requests that it can reject, see Brittle.
	Limited   bool
	PerSecond float64
	// At is when the target stated it.
	At time.Time
}

// Statements are the latest statements of targets. The zero value is ready to use. It is not safe
// for concurrent use.
type Statements struct {
	targets map[string]*Statement
}

// Add records a statement and reports whether it changes the limit of the target. A statement
// that is older than the known one, or that comes from an earlier process, is ignored.
func (l *Statements) Add(s Statement) bool {
	known := l.targets[s.Target]
	if known == nil && !s.Limited {
		return false
	}
	if known == nil {
		if l.targets == nil {
			l.targets = map[string]*Statement{}
		}
		l.targets[s.Target] = &s
		return true
	}
	if s.Started < known.Started || (s.Started == known.Started && s.At.Before(known.At)) {
		return false
	}
	changed := s.Limited != known.Limited || s.PerSecond != known.PerSecond
	*known = s
	return changed
}

// Retain forgets the targets for which keep returns false, given the start time of the
// process that stated the limit.
func (l *Statements) Retain(keep func(target string, started int64) bool) {
	for name, known := range l.targets {
		if !keep(name, known.Started) {
			delete(l.targets, name)
		}
	}
}

// Limited reports whether a target has a limit.
func (l *Statements) Limited(target string) bool {
	known := l.targets[target]
	return known != nil && known.Limited
}

// Targets returns the names of the targets with a limit.
func (l *Statements) Targets() []string {
	var names []string
	for name, known := range l.targets {
		if known.Limited {
			names = append(names, name)
		}
	}
	return names
}

// Report returns up to n statements that are no older than maxAge, the latest first.
func (l *Statements) Report(now time.Time, maxAge time.Duration, n int) []Statement {
	var list []Statement
	for _, known := range l.targets {
		if now.Sub(known.At) <= maxAge {
			list = append(list, *known)
		}
	}
	slices.SortFunc(list, func(a, b Statement) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(n, len(list))]
}
