// Package targetlimit keeps the calls of all entry hosts to a target within the rate that
// the target states. Each host computes its part by itself. The package does no I/O, reads
// no clock and starts no goroutine.
package targetlimit

import "time"

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

// Position is the position of a host among the live ones, in an order that differs from
// target to target.
type Position struct {
	// Hosts is the number of live hosts, and Rank the number of those that come before this one.
	Hosts, Rank int
}

// Limits are the latest statements of targets about the calls that they take, and the calls of
// this host. The zero value is ready to use. It is not safe for concurrent use.
type Limits struct {
	Statements

	balances map[string]*balance
}

// balance is the number of calls that this host has saved up, as of at. It is negative after
// calls that could not wait.
type balance struct {
	calls float64
	at    time.Time
}

// Add records a statement, like Statements.Add. A host begins without saved calls.
func (l *Limits) Add(now time.Time, s Statement) bool {
	limited := l.Limited(s.Target)
	changed := l.Statements.Add(s)
	if !limited && l.Limited(s.Target) {
		if l.balances == nil {
			l.balances = map[string]*balance{}
		}
		l.balances[s.Target] = &balance{at: now}
	}
	return changed
}

// Retain is like Statements.Retain.
func (l *Limits) Retain(keep func(target string, started int64) bool) {
	l.Statements.Retain(keep)
	for name := range l.balances {
		if !l.Limited(name) {
			delete(l.balances, name)
		}
	}
}

// Wait returns how long this host has to wait before its next call to a target, 0 if it may
// call now.
func (l *Limits) Wait(now time.Time, target string, p Position) time.Duration {
	if !l.Limited(target) {
		return 0
	}
	perSecond, _ := l.share(target, p)
	saved := l.save(now, target, p)
	switch {
	case perSecond == 0:
		return closedTime
	case saved.calls >= 1:
		return 0
	default:
		return time.Duration((1 - saved.calls) / perSecond * float64(time.Second))
	}
}

// Take records a call to a target, which is made now whether or not Wait allows it.
func (l *Limits) Take(now time.Time, target string, p Position) {
	if l.Limited(target) {
		l.save(now, target, p).calls--
	}
}

// share returns the rate of this host and the number of calls that it may save up. A limit is
// divided among so few hosts that one saved call of each is within burstTime.
func (l *Limits) share(target string, p Position) (perSecond, burst float64) {
	limit := l.targets[target].PerSecond
	hosts := min(max(1, p.Hosts), max(1, int(limit*burstTime.Seconds())))
	if p.Rank >= hosts {
		return 0, 0
	}
	perSecond = max(minPerSecond, usedShare*limit) / float64(hosts)
	return perSecond, max(1, perSecond*burstTime.Seconds())
}

// save adds the calls that this host has saved up since the last time, and returns the balance.
func (l *Limits) save(now time.Time, target string, p Position) *balance {
	saved := l.balances[target]
	perSecond, burst := l.share(target, p)
	if elapsed := now.Sub(saved.at); elapsed > 0 {
		saved.calls += perSecond * elapsed.Seconds()
	}
	saved.calls, saved.at = min(burst, saved.calls), now
	return saved
}
