// Package rollout swaps targets to the weights that operators request. One host
// at a time orders swaps, a few at once, and publishes which targets are swapping
// so that the other hosts send their requests elsewhere.
package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
)

// swap is the swap of one target to a version.
type swap struct {
	model   string
	version int64
	// chosenAt is when the target stopped receiving long requests, closedAt when
	// it stopped receiving any, acceptedAt when it accepted the order, and
	// attemptedAt when the order was last attempted.
	chosenAt    time.Time
	closedAt    time.Time
	acceptedAt  time.Time
	attemptedAt time.Time
	// readAt is when the state of the target was last read to learn of the end of the swap.
	readAt time.Time
}

// Plan decides which targets swap next. It does no I/O and reads no clock: its times are
// those of a clock that also runs while the host is suspended. It is not safe for
// concurrent use.
type Plan struct {
	// SwapShare is the fraction of a model's targets that swap at the same time. It is
	// exceeded if that is necessary to meet TimeLimit.
	SwapShare float64
	// TimeLimit is the time after a request in which all targets must have the requested
	// version.
	TimeLimit time.Duration
	// ConcurrentLoads is the number of targets that may load weights at the same time. It
	// is exceeded if more targets of a model may swap at the same time, for example to
	// meet TimeLimit.
	ConcurrentLoads int
	// Drain is how long a target receives only short requests before its swap, so
	// that few long requests remain.
	Drain time.Duration
	// SettleDelay is the time between closing a target to requests and sending the
	// order. In this time the other hosts learn that the target is closed.
	SettleDelay time.Duration
	// KeepRuns is copied to Order.KeepRuns.
	KeepRuns bool
	// RepeatAfter is the time after which an accepted order is sent again.
	RepeatAfter time.Duration
	// GroupOf returns the name of the group of a target. Swaps are spread over the groups, so that
	// each keeps most of its targets. It may be nil.
	GroupOf func(target string) string
	// OpensEarly reports whether a target may receive requests as soon as its state reports the end of its
	// swap, since the hosts that place requests on it read its state, too. Others stay closed until their
	// rows state the new version: hosts that know only the row would request the replaced one. It may be
	// nil.
	OpensEarly func(target string) bool

	swaps map[string]*swap
	// loadLimit is the highest of ConcurrentLoads and the numbers of targets of each model
	// that may swap at the same time.
	loadLimit int
	// swapTime is the moving average of the time from the choice of a target to
	// the end of its swap.
	swapTime time.Duration
	// loadTime is the shortest known time from the acceptance of an order to the report of its end.
	loadTime time.Duration
	// reports are the versions that targets have reported and that their rows don't state yet.
	reports fleet.Reports
	// awaited contains the targets that have reported the end of their swaps and stay closed until their
	// rows state it.
	awaited map[string]*swap
}

const (
	// initialSwapTime is the estimate of swapTime until the first swap has ended.
	initialSwapTime = 2 * time.Second
	// swapTimeWeight is the weight of one swap in the moving average.
	swapTimeWeight = 0.3
	// maxAtOnceFactor limits how far SwapShare is exceeded when time is short: this many
	// times as many targets swap at once. Concurrent loads share bandwidth and each
	// takes longer, so a higher factor would not finish sooner.
	maxAtOnceFactor = 2
)

// atOnce returns how many targets of a model may swap at the same time. total is
// the number of targets with the model. outdatedSince contains the time at which
// each outdated target became outdated; atOnce sorts it.
func (p *Plan) atOnce(now time.Time, total int, outdatedSince []time.Time) int {
	base := max(1, int(math.Ceil(p.SwapShare*float64(total))))
	swapTime := p.swapTime
	if swapTime == 0 {
		swapTime = initialSwapTime
	}
	slices.SortFunc(outdatedSince, time.Time.Compare)
	needed := base
	for i, since := range outdatedSince {
		remaining := p.TimeLimit - now.Sub(since)
		if remaining <= swapTime {
			return maxAtOnceFactor * base
		}
		// The i+1 targets that became outdated first must all be swapped in the
		// remaining time.
		needed = max(needed, int(math.Ceil(float64(i+1)*swapTime.Seconds()/remaining.Seconds())))
	}
	return min(needed, maxAtOnceFactor*base)
}

// Order is an order to a target to load weights.
type Order struct {
	Target  fleet.Target
	Model   string
	Version int64
	// After is the number of orders that the target must have accepted before, so
	// that a delayed order has no effect.
	After int64
	// KeepRuns continues the running requests under the new weights; otherwise the
	// target finishes them first.
	KeepRuns bool
}

// Update applies the present targets and requested versions, chooses further targets
// to swap and closes those that have drained. It reports whether the closed or the
// draining targets have changed.
func (p *Plan) Update(now time.Time, targets []fleet.Target, requested []RequestedVersion) bool {
	if p.swaps == nil {
		p.swaps = map[string]*swap{}
	}
	p.loadLimit = p.ConcurrentLoads
	targets, changed := p.applyReports(now, targets)
	changed = p.dropFinished(now, targets, requested) || changed
	for _, r := range requested {
		if p.chooseTargets(now, targets, r) {
			changed = true
		}
	}
	return p.closeDrained(now) || changed
}

// sortWaiting sorts the targets that wait for a swap. Targets with the newest
// weights come first, because they have the least cached data that is still useful.
// Once the remaining time of the targets with the oldest weights is only just enough,
// those come first.
func (p *Plan) sortWaiting(now time.Time, waiting []fleet.Target, r RequestedVersion, atOnce int) {
	slices.SortStableFunc(waiting, func(a, b fleet.Target) int {
		return cmp.Compare(b.Versions[r.Model], a.Versions[r.Model])
	})
	oldest := waiting[len(waiting)-1].Versions[r.Model]
	count := 0
	for _, t := range waiting {
		if t.Versions[r.Model] == oldest {
			count++
		}
	}
	remaining := p.TimeLimit - now.Sub(r.OutdatedSince(oldest))
	rounds := (count+atOnce-1)/atOnce + 1
	if remaining <= time.Duration(rounds)*max(p.swapTime, initialSwapTime) {
		slices.Reverse(waiting)
	}
}

// closeDrained closes targets to all requests after they have drained, in the
// order in which they were chosen, as far as the limit of concurrent loads permits.
// Targets that stay closed after their swap count towards the limit.
// It reports whether it closed any.
func (p *Plan) closeDrained(now time.Time) bool {
	var drained []string
	room := p.loadLimit - len(p.awaited)
	for id, s := range p.swaps {
		switch {
		case !s.closedAt.IsZero():
			room--
		case now.Sub(s.chosenAt) >= p.Drain:
			drained = append(drained, id)
		}
	}
	slices.SortFunc(drained, func(a, b string) int {
		return cmp.Or(p.swaps[a].chosenAt.Compare(p.swaps[b].chosenAt), cmp.Compare(a, b))
	})
	drained = drained[:min(len(drained), max(0, room))]
	for _, id := range drained {
		p.swaps[id].closedAt = now
	}
	return len(drained) > 0
}

// dropFinished removes the swaps that are finished or no longer due, for example
// those of removed targets. It reports whether it removed any.
func (p *Plan) dropFinished(now time.Time, targets []fleet.Target, requested []RequestedVersion) bool {
	unfinished := map[string]bool{}
	for _, t := range targets {
		s := p.swaps[t.ID]
		if s == nil {
			continue
		}
		if t.Versions[s.model] >= s.version {
			p.recordSwapTime(now.Sub(s.chosenAt))
			continue
		}
		for _, r := range requested {
			unfinished[t.ID] = unfinished[t.ID] || outdated(t, r)
		}
	}
	changed := false
	for id := range p.swaps {
		if !unfinished[id] {
			delete(p.swaps, id)
			changed = true
		}
	}
	return changed
}

// recordSwapTime adds a finished swap to the moving average.
func (p *Plan) recordSwapTime(swapTime time.Duration) {
	if p.swapTime == 0 {
		p.swapTime = swapTime
		return
	}
	p.swapTime += time.Duration(swapTimeWeight * float64(swapTime-p.swapTime))
}

// outdated reports whether a target has to be swapped to a version. Targets that
// are leaving are not swapped.
func outdated(t fleet.Target, r RequestedVersion) bool {
	version, loaded := t.Versions[r.Model]
	return loaded && version < r.Version && !t.Leaving
}

// chooseTargets starts the swap of further targets to the requested version of a
// model. It reports whether it chose any.
func (p *Plan) chooseTargets(now time.Time, targets []fleet.Target, r RequestedVersion) bool {
	var waiting []fleet.Target
	var outdatedSince []time.Time
	total, swapping := 0, 0
	for _, t := range targets {
		if _, loaded := t.Versions[r.Model]; !loaded {
			continue
		}
		total++
		if s := p.awaited[t.ID]; s != nil && s.model == r.Model {
			swapping++ // It stays closed until its row states the end of its swap.
			continue
		}
		if !outdated(t, r) {
			continue
		}
		outdatedSince = append(outdatedSince, r.OutdatedSince(t.Versions[r.Model]))
		if s := p.swaps[t.ID]; s != nil {
			if s.acceptedAt.IsZero() {
				s.version = max(s.version, r.Version)
			}
			swapping++
			continue
		}
		waiting = append(waiting, t)
	}
	atOnce := p.atOnce(now, total, outdatedSince)
	p.loadLimit = max(p.loadLimit, atOnce)
	room := atOnce - swapping
	if room <= 0 || len(waiting) == 0 {
		return false
	}
	p.sortWaiting(now, waiting, r, atOnce)
	p.spread(waiting, r)
	for _, t := range waiting[:min(room, len(waiting))] {
		p.swaps[t.ID] = &swap{model: r.Model, version: r.Version, chosenAt: now}
	}
	return true
}

// spread sorts targets with the same weights so that each of the first is of the group with the
// fewest swaps.
func (p *Plan) spread(waiting []fleet.Target, r RequestedVersion) {
	if p.GroupOf == nil {
		return
	}
	swaps := map[string]int{}
	for id := range p.swaps {
		swaps[p.GroupOf(id)]++
	}
	rank := make(map[string]int, len(waiting))
	for _, t := range waiting {
		group := p.GroupOf(t.ID)
		rank[t.ID] = swaps[group]
		swaps[group]++
	}
	first := waiting[0].Versions[r.Model]
	same := 0
	for same < len(waiting) && waiting[same].Versions[r.Model] == first {
		same++
	}
	slices.SortStableFunc(waiting[:same], func(a, b fleet.Target) int { return cmp.Compare(rank[a.ID], rank[b.ID]) })
}

// Swapping returns the ids of the targets that receive no requests and of those
// that receive only short requests, both sorted.
func (p *Plan) Swapping() (closed, draining []string) {
	for id, s := range p.swaps {
		if s.closedAt.IsZero() {
			draining = append(draining, id)
		} else {
			closed = append(closed, id)
		}
	}
	closed = slices.AppendSeq(closed, maps.Keys(p.awaited))
	slices.Sort(closed)
	slices.Sort(draining)
	return closed, draining
}

// Idle reports whether no target is swapping or stays closed after its swap.
func (p *Plan) Idle() bool { return len(p.swaps) == 0 && len(p.awaited) == 0 }

// Due returns the orders to be sent now and records them as attempted.
func (p *Plan) Due(now time.Time, targets []fleet.Target) []Order {
	var due []Order
	for _, t := range targets {
		s := p.swaps[t.ID]
		if s == nil || s.closedAt.IsZero() || now.Sub(s.closedAt) < p.SettleDelay {
			continue
		}
		if !s.acceptedAt.IsZero() && now.Sub(s.acceptedAt) < p.RepeatAfter {
			continue
		}
		if !s.attemptedAt.IsZero() && now.Sub(s.attemptedAt) < orderRetryDelay {
			continue
		}
		s.attemptedAt = now
		due = append(due, Order{Target: t, Model: s.model, Version: s.version, KeepRuns: p.KeepRuns})
	}
	return due
}

// orderRetryDelay is the minimum time between two attempts to send an order.
const orderRetryDelay = 500 * time.Millisecond

// Accepted records that a target has accepted an order.
func (p *Plan) Accepted(now time.Time, id string) {
	if s := p.swaps[id]; s != nil {
		s.acceptedAt = now
	}
}

// Forget removes all swaps. It is called when this host no longer holds the lease.
func (p *Plan) Forget() {
	clear(p.swaps)
	clear(p.awaited)
	p.reports.Clear()
}
