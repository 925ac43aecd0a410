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

// Demands lists the demand of all active accounts.
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

// LimitShare returns the share of the limit of an account that one host may use,
// from 0 to 1. It is the share of the host in the demand that all hosts report.
// Without reports, or if they are too old (fresh is false), all hosts have equal
// shares. A host without demand keeps a small share so that it can admit its
// first requests.
func LimitShare(own, total float64, hosts int, fresh bool) float64 {
	equal := 1 / float64(max(1, hosts))
	if !fresh || total <= 0 {
		return equal
	}
	const minimum = 0.02
	return minimum*equal + (1-minimum)*own/total
}

// admissionRate measures the number of admitted jobs per second.
type admissionRate struct {
	start    time.Time
	count    int
	previous float64
	// complete is set after the first complete window.
	complete bool
}

func (d *admissionRate) record(now time.Time) {
	d.advance(now)
	d.count++
}

// perSecond returns 0 until the first window is complete. The start of a window
// gives no reliable rate, and an unknown rate must not cause refusals.
func (d *admissionRate) perSecond(now time.Time) float64 {
	d.advance(now)
	if !d.complete {
		return 0
	}
	elapsed := now.Sub(d.start).Seconds()
	part := elapsed / rateWindow.Seconds()
	return d.previous*(1-part) + float64(d.count)/rateWindow.Seconds()
}

func (d *admissionRate) advance(now time.Time) {
	windows := now.Sub(d.start) / rateWindow
	switch {
	case d.start.IsZero() || windows >= 2:
		*d = admissionRate{start: now}
	case windows == 1:
		d.previous = float64(d.count) / rateWindow.Seconds()
		d.count = 0
		d.complete = true
		d.start = d.start.Add(rateWindow)
	}
}
