package admission

import (
	"math"
	"time"
)

const (
	// burst is the time for which an account may save up unused tokens.
	burst = 2 * time.Second
	// demandMemory is the time constant of the measured demand.
	demandMemory = 5 * time.Second
	// drainWindow is the time over which admissions are counted.
	drainWindow = 2 * time.Second
)

// rateWait returns how long an account must wait before its rate limit allows
// that much work.
func (a *account) rateWait(now time.Time, work float64) time.Duration {
	limit := a.limits.TokensPerSecond
	if limit <= 0 {
		return 0
	}
	over := a.spentNow(now) + min(work, limit*burst.Seconds()) - limit*burst.Seconds()
	if over <= 0 {
		return 0
	}
	return time.Duration(over / limit * float64(time.Second))
}

func (a *account) spentNow(now time.Time) float64 {
	return max(0, a.spent-a.limits.TokensPerSecond*now.Sub(a.spentAt).Seconds())
}

func (a *account) spend(now time.Time, work float64) {
	if a.limits.TokensPerSecond <= 0 {
		return
	}
	a.spent = a.spentNow(now) + work
	a.spentAt = now
}

// noteDemand adds work to the measured demand.
func (a *account) noteDemand(now time.Time, work float64) {
	a.demand = a.demandNow(now) + work/demandMemory.Seconds()
	a.demandAt = now
}

// demandNow returns the measured demand in tokens a second.
func (a *account) demandNow(now time.Time) float64 {
	if a.demandAt.IsZero() {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandMemory.Seconds())
}

// Demand is the work that callers of an account ask of this host.
type Demand struct {
	Account string
	// TokensPerSecond is the measured demand.
	TokensPerSecond float64
	// InFlight counts running and waiting requests.
	InFlight int
}

// Demands lists the accounts that ask for work.
func (q *Queue) Demands(now time.Time) []Demand {
	var demands []Demand
	for name, a := range q.accounts {
		tokens := a.demandNow(now)
		inFlight := a.running + len(a.waiting)
		if tokens < 1 && inFlight == 0 {
			continue
		}
		demands = append(demands, Demand{Account: name, TokensPerSecond: tokens, InFlight: inFlight})
	}
	return demands
}

// LimitShare returns the part of an account's limit that one host may use: its part
// of the demand that all hosts report. Without any report, or with reports
// that are too old, each host uses an equal part. A small equal part is always
// kept, so that a host without demand can begin.
func LimitShare(own, total float64, hosts int, fresh bool) float64 {
	equal := 1 / float64(max(1, hosts))
	if !fresh || total <= 0 {
		return equal
	}
	const kept = 0.02
	return kept*equal + (1-kept)*own/total
}

// drainRate measures how many jobs are admitted a second.
type drainRate struct {
	start    time.Time
	count    int
	previous float64
	// whole is set once a whole window was counted.
	whole bool
}

func (d *drainRate) note(now time.Time) {
	d.roll(now)
	d.count++
}

// perSecond returns 0 until a whole window was counted: the beginning of one
// says nothing of the rate, and what isn't known is no reason to refuse.
func (d *drainRate) perSecond(now time.Time) float64 {
	d.roll(now)
	if !d.whole {
		return 0
	}
	elapsed := now.Sub(d.start).Seconds()
	part := elapsed / drainWindow.Seconds()
	return d.previous*(1-part) + float64(d.count)/drainWindow.Seconds()
}

func (d *drainRate) roll(now time.Time) {
	windows := now.Sub(d.start) / drainWindow
	switch {
	case d.start.IsZero() || windows >= 2:
		*d = drainRate{start: now}
	case windows == 1:
		d.previous = float64(d.count) / drainWindow.Seconds()
		d.count = 0
		d.whole = true
		d.start = d.start.Add(drainWindow)
	}
}
