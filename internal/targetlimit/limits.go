// Package targetlimit keeps the calls of all entry hosts to a target within the rate that
// the target states. It does no I/O, reads no clock and starts no goroutine.
package targetlimit

import "time"

// Statement is what a process of a target has stated about its limit.
type Statement struct {
	Target string
	// Started is the start time of the process in Unix milliseconds, 0 if unknown.
	Started int64
	// Limited reports whether there is a limit. PerSecond is the number of calls per second
	// from all hosts together.
	Limited   bool
	PerSecond float64
	// At is when the target stated it.
	At time.Time
}

// Limits are the latest statements of targets. The zero value is ready to use. It is not
// safe for concurrent use.
type Limits struct {
	targets map[string]*limit
}

type limit struct {
	Statement
}

// Add records a statement and reports whether it changes the limit of the target. A
// statement that is older than the known one, or that comes from an earlier process, is
// ignored.
func (l *Limits) Add(s Statement) bool {
	known := l.targets[s.Target]
	if known == nil {
		if !s.Limited {
			return false
		}
		if l.targets == nil {
			l.targets = map[string]*limit{}
		}
		l.targets[s.Target] = &limit{Statement: s}
		return true
	}
	if s.Started < known.Started || (s.Started == known.Started && s.At.Before(known.At)) {
		return false
	}
	changed := s.Limited != known.Limited || s.PerSecond != known.PerSecond
	known.Statement = s
	return changed
}
