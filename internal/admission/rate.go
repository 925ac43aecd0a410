package admission

import (
	"math"
	"time"
)

const (
	// burstTime is the time over which an account may accumulate unused tokens.
	burstTime = 2 * time.Second
	// demandTimeConstant is the time constant of the decay of the measured demand.
	demandTimeConstant = 5 * time.Second
	// rateWindow is the length of the windows in which admissions are counted.
	rateWindow = 2 * time.Second
)

// rateWait returns how long an account must wait until its rate limit allows the
// given work in tokens. Work above the burst size counts as one burst, so that
// large jobs are admitted at all.
func (a *account) rateWait(now time.Time, work float64) time.Duration {
	limit := a.limits.TokensPerSecond
	if limit <= 0 {
		return 0
	}
	excess := a.currentSpent(now) + min(work, limit*burstTime.Seconds()) - limit*burstTime.Seconds()
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / limit * float64(time.Second))
}

// currentSpent returns the current level of the leaky bucket in tokens.
func (a *account) currentSpent(now time.Time) float64 {
	return max(0, a.spent-a.limits.TokensPerSecond*now.Sub(a.spentAt).Seconds())
}

func (a *account) spend(now time.Time, work float64) {
	if a.limits.TokensPerSecond <= 0 {
		return
	}
	a.spent = a.currentSpent(now) + work
	a.spentAt = now
}

// addDemand adds work to the measured demand.
func (a *account) addDemand(now time.Time, work float64) {
	a.demand = a.currentDemand(now) + work/demandTimeConstant.Seconds()
	a.demandAt = now
}

// currentDemand returns the measured demand in tokens per second.
func (a *account) currentDemand(now time.Time) float64 {
	if a.demandAt.IsZero() {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandTimeConstant.Seconds())
}

// Demand is the work that callers of an account request from this host.
type Demand struct {
	Account string
	// TokensPerSecond is the measured demand.
	TokensPerSecond float64
	// InFlight counts running and waiting requests.
	InFlight int
}

// Demands lists the demand of all active accounts: those with a running or waiting
// request or a demand of at least 1 token per second.
func (q *Queue) Demands(now time.Time) []Demand {
	var demands []Demand
	for name, a := range q.accounts {
		tokens := a.currentDemand(now)
		inFlight := a.running + len(a.waiting)
		if tokens < 1 && inFlight == 0 {
			continue
		}
		demands = append(demands, Demand{Account: name, TokensPerSecond: tokens, InFlight: inFlight})
	}
	return demands
}

// LimitShare returns the share of a limit that one host may use, from 0 to 1: its
// own demand divided by the total demand of all hosts. If there is no demand, or
// if the reports of other hosts are too old (fresh is false), all hosts have
// equal shares. Otherwise every host keeps at least 2% of an equal share, so that
// a host without demand can admit its first requests.
func LimitShare(own, total float64, hosts int, fresh bool) float64 {
	equal := 1 / float64(max(1, hosts))
	if !fresh || total <= 0 {
		return equal
	}
	const minimum = 0.02
	return minimum*equal + (1-minimum)*own/total
}

// admissionRate measures the number of admitted jobs per second in a sliding
// window.
type admissionRate struct {
	// start is the start of the current window.
	start time.Time
	// count is the number of admissions in the current window.
	count int
	// previous is the rate per second in the previous window.
	previous float64
	// complete is set after the first complete window.
	complete bool
}

func (r *admissionRate) record(now time.Time) {
	r.advance(now)
	r.count++
}

// perSecond returns the current rate. It returns 0 until the first window is
// complete: a part of a window gives no reliable rate, and an unreliable rate must
// not cause refusals.
func (r *admissionRate) perSecond(now time.Time) float64 {
	r.advance(now)
	if !r.complete {
		return 0
	}
	elapsed := now.Sub(r.start).Seconds()
	fraction := elapsed / rateWindow.Seconds()
	return r.previous*(1-fraction) + float64(r.count)/rateWindow.Seconds()
}

// advance starts a new window if the current one has ended. If two windows or more
// have passed since its start, the measurement starts again without a rate.
func (r *admissionRate) advance(now time.Time) {
	windows := now.Sub(r.start) / rateWindow
	switch {
	case r.start.IsZero() || windows >= 2:
		*r = admissionRate{start: now}
	case windows == 1:
		r.previous = float64(r.count) / rateWindow.Seconds()
		r.count = 0
		r.complete = true
		r.start = r.start.Add(rateWindow)
	}
}
