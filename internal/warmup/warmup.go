// Package warmup keeps the requests of all entry hosts to a cold target within the rate that
// a target takes while it is cold. Each host computes its part by itself, so the bound also
// holds while hosts can't communicate. The package does no I/O, reads no clock and starts no
// goroutine.
package warmup

import (
	"math"
	"time"
)

const (
	// grantors is the number of groups of hosts among which a limit is divided. Two parts of a
	// partition know only their own hosts after a while, and two hosts may both believe that they
	// own a target. Each of them uses up one part.
	grantors = 2
	// window is the time in which a host sends no more than its part, which is meant for one
	// second. The rest is for requests that reach the target later than others that were granted
	// after them, for example on a new connection or from a host that was not scheduled.
	window = 1250 * time.Millisecond
	// usedShare is the share of the stated rate that hosts use if they agree with each other.
	usedShare = 0.9
	// maxHosts is the largest number of hosts among which a part is divided. With fewer, the
	// hosts that have died take more of the rate with them. With more, each waits longer for its
	// first request, which none may send at once.
	maxHosts = 6
	// closedTime is how long a target is closed at a time to a host without a share.
	closedTime = time.Second
	// maxRequests limits the requests of a limit, so that any settings can be counted.
	maxRequests = 1e6
	// rounding is the error that a number of requests may have from its computation.
	rounding = 1e-9
)

// Limit limits the requests of all hosts together to one cold target: in any second, they may send
// PerSecond x BurstFactor + Burst requests.
type Limit struct {
	// PerSecond is the number of requests per second that the target takes while it is cold.
	PerSecond          float64
	BurstFactor, Burst float64
}

// part returns the number of requests that one group of hosts may send within window.
func (l Limit) part() int {
	total := min(maxRequests, l.PerSecond*l.BurstFactor+l.Burst)
	return max(0, int(total/grantors+rounding))
}

// Share says which part of a limit a host may use. The zero value is no part.
type Share struct {
	// Owner is set for a host that sends or grants the requests of all hosts to the target.
	Owner bool
	// Hosts is the number of hosts that share a limit without an owner, and Rank the number of
	// those that come before this one, in an order that differs from target to target. Hosts that
	// may be alive without being known to be count as well.
	Hosts, Rank int
}

// rate returns the number of requests per second that a host may send, 0 if it may send none.
func (s Share) rate(l Limit) float64 {
	all := l.part()
	own := all
	if !s.Owner {
		hosts := min(s.Hosts, maxHosts, all)
		if s.Rank >= hosts {
			return 0
		}
		own = all / hosts
		if s.Rank < all%hosts {
			own++
		}
	}
	if own == 0 {
		return 0
	}
	// A host that sends at regular intervals of window/own sends at most own requests within
	// window.
	return min(float64(own)/window.Seconds(), usedShare*l.PerSecond*float64(own)/float64(all))
}

// Allowance is what a host may send to one cold target. It grants requests at regular intervals
// and saves up one at most, so that a host which restarts sends no more than it would have
// otherwise. The zero value has saved up none. It is not safe for concurrent use.
type Allowance struct {
	// requests is the number that has been saved up as of at, negative after requests that could
	// not wait. rate is the rate at which the host has saved since then.
	requests, rate float64
	at             time.Time
}

// Wait returns how long the host has to wait before its next request, 0 if it may send one now.
func (a *Allowance) Wait(now time.Time, l Limit, s Share) time.Duration {
	a.save(now, l, s)
	switch {
	case a.rate == 0:
		return closedTime
	case a.requests >= 1-rounding:
		return 0
	default:
		return time.Duration(math.Ceil((1 - a.requests) / a.rate * float64(time.Second)))
	}
}

// Take grants a request and reports whether it may be sent now.
func (a *Allowance) Take(now time.Time, l Limit, s Share) bool {
	if a.Wait(now, l, s) > 0 {
		return false
	}
	a.requests--
	return true
}

// Count counts a request that is sent whether or not the allowance permits it.
func (a *Allowance) Count(now time.Time, l Limit, s Share) {
	a.save(now, l, s)
	a.requests--
}

// save adds what the host has saved up since the last call. A host whose rate has changed saves at
// the lower one, so that it begins without requests when it gets a share.
func (a *Allowance) save(now time.Time, l Limit, s Share) {
	rate := s.rate(l)
	if elapsed := now.Sub(a.at); !a.at.IsZero() && elapsed > 0 {
		a.requests = min(1, a.requests+min(a.rate, rate)*elapsed.Seconds())
	}
	if rate == 0 {
		a.requests = min(0, a.requests)
	}
	a.rate, a.at = rate, now
}
