// Package targetlimit keeps the calls of all entry hosts to a target within the rate that
// the target states. Each host computes its part by itself. The package does no I/O, reads
// no clock and starts no goroutine.
package targetlimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// burstTime is the time over which hosts together may save up calls.
	burstTime = 2 * time.Second
	// usedShare is the part of a limit that hosts use. The rest is for moments in which they
	// disagree on how many they are.
	usedShare = 0.9
	// minPerSecond is the rate at which a target is called that states a lower limit, since
	// only its answers tell when it takes more.
	minPerSecond = 0.1
	// closedTime is how long a target without a part for this host is closed at a time.
	closedTime = time.Second
)

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

// Position is the position of a host among the live ones, in an order that differs from
// target to target.
type Position struct {
	// Hosts is the number of live hosts, and Rank the number of those that come before this one.
	Hosts, Rank int
}

// Limits are the latest statements of targets, and the calls of this host. The zero value is
// ready to use. It is not safe for concurrent use.
type Limits struct {
	targets map[string]*limit
}

type limit struct {
	Statement

	// balance is the number of calls that this host has saved up, as of balanceAt. It is
	// negative after calls that could not wait.
	balance   float64
	balanceAt time.Time
}

// Add records a statement and reports whether it changes the limit of the target. A
// statement that is older than the known one, or that comes from an earlier process, is
// ignored. A host begins without saved calls.
func (l *Limits) Add(now time.Time, s Statement) bool {
	known := l.targets[s.Target]
	if known == nil && !s.Limited {
		return false
	}
	if known == nil {
		if l.targets == nil {
			l.targets = map[string]*limit{}
		}
		l.targets[s.Target] = &limit{Statement: s, balanceAt: now}
		return true
	}
	if s.Started < known.Started || (s.Started == known.Started && s.At.Before(known.At)) {
		return false
	}
	changed := s.Limited != known.Limited || s.PerSecond != known.PerSecond
	if s.Limited && !known.Limited {
		known.balance, known.balanceAt = 0, now
	}
	known.Statement = s
	return changed
}

// Retain forgets the targets for which keep returns false, given the start time of the
// process that stated the limit.
func (l *Limits) Retain(keep func(target string, started int64) bool) {
	for name, known := range l.targets {
		if !keep(name, known.Started) {
			delete(l.targets, name)
		}
	}
}

// Limited reports whether a target has a limit.
func (l *Limits) Limited(target string) bool {
	known := l.targets[target]
	return known != nil && known.Limited
}

// Targets returns the names of the targets with a limit.
func (l *Limits) Targets() []string {
	var names []string
	for name, known := range l.targets {
		if known.Limited {
			names = append(names, name)
		}
	}
	return names
}

// Wait returns how long this host has to wait before its next call to a target, 0 if it may
// call now.
func (l *Limits) Wait(now time.Time, target string, p Position) time.Duration {
	known := l.targets[target]
	if known == nil || !known.Limited {
		return 0
	}
	perSecond, _ := known.share(p)
	known.save(now, p)
	switch {
	case perSecond == 0:
		return closedTime
	case known.balance >= 1:
		return 0
	default:
		return time.Duration((1 - known.balance) / perSecond * float64(time.Second))
	}
}

// Take records a call to a target, which is made now whether or not Wait allows it.
func (l *Limits) Take(now time.Time, target string, p Position) {
	if known := l.targets[target]; known != nil && known.Limited {
		known.save(now, p)
		known.balance--
	}
}

// share returns the rate of this host and the number of calls that it may save up. A limit is
// divided among so few hosts that one saved call of each is within burstTime.
func (k *limit) share(p Position) (perSecond, burst float64) {
	hosts := min(max(1, p.Hosts), max(1, int(k.PerSecond*burstTime.Seconds())))
	if p.Rank >= hosts {
		return 0, 0
	}
	perSecond = max(minPerSecond, usedShare*k.PerSecond) / float64(hosts)
	return perSecond, max(1, perSecond*burstTime.Seconds())
}

// save adds the calls that this host has saved up since balanceAt.
func (k *limit) save(now time.Time, p Position) {
	perSecond, burst := k.share(p)
	if elapsed := now.Sub(k.balanceAt); elapsed > 0 {
		k.balance += perSecond * elapsed.Seconds()
	}
	k.balance, k.balanceAt = min(burst, k.balance), now
}

// Report returns up to n statements that are no older than maxAge, the latest first.
func (l *Limits) Report(now time.Time, maxAge time.Duration, n int) []Statement {
	var list []Statement
	for _, known := range l.targets {
		if now.Sub(known.At) <= maxAge {
			list = append(list, known.Statement)
		}
	}
	slices.SortFunc(list, func(a, b Statement) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(n, len(list))]
}
