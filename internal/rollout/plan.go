// Package rollout brings targets to the weights that operators ask for. One
// host at a time orders swaps, a few at once, and tells the others which targets
// are swapping so that they send their work elsewhere.
package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
)

// RequestedVersion is the version of a model that operators ask for.
type RequestedVersion struct {
	Model   string
	Version int64
	// Since is when this host heard of it.
	Since time.Time
	// Earlier are the versions that were asked for before, the oldest first.
	Earlier []Step
}

// Step is a version that was asked for, and when this host heard of it.
type Step struct {
	Version int64
	Since   time.Time
}

// Supersede returns n after a newer version was asked for at a time.
func (n RequestedVersion) Supersede(version int64, now time.Time) RequestedVersion {
	if n.Version > 0 {
		n.Earlier = append(slices.Clone(n.Earlier), Step{n.Version, n.Since})
		n.Earlier = n.Earlier[max(0, len(n.Earlier)-stepsKept):]
	}
	n.Version, n.Since = version, now
	return n
}

// stepsKept bounds the earlier versions that are remembered.
const stepsKept = 16

// BehindSince returns since when a version has been behind what was asked for.
func (n RequestedVersion) BehindSince(version int64) time.Time {
	for _, step := range n.Earlier {
		if step.Version > version {
			return step.Since
		}
	}
	return n.Since
}

// swap is one target on its way to a version.
type swap struct {
	model   string
	version int64
	// chosen is when the target got its last long work, closed when it got its
	// last work at all, ordered when it accepted the order.
	chosen  time.Time
	closed  time.Time
	ordered time.Time
	asked   time.Time
}

// Plan decides which targets swap next. It does no I/O and reads no clock; its
// caller serializes access.
type Plan struct {
	// AtOnce is the share of a model's targets that swap at the same time.
	AtOnce float64
	// Within is the time in which all targets have to hold the version asked for.
	// More of them swap at once where that is needed.
	Within time.Duration
	// Loads bounds the targets that load weights at the same time.
	Loads int
	// Drain is the time in which a target gets short work only, so that few long
	// runs are left when it swaps.
	Drain time.Duration
	// Settle is the time between taking a target out of use and the order.
	Settle time.Duration
	// Keep lets runs that are left go on under the new weights.
	Keep bool
	// Repeat is the time after which an order is sent again.
	Repeat time.Duration

	swaps map[string]*swap
	// loads is Loads, or more where time is short.
	loads int
	// took is the usual time of a swap, from the choice of a target to its end.
	took time.Duration
}

const (
	// firstTook is assumed before the first swap has ended.
	firstTook = 2 * time.Second
	// tookWeight is the weight of one swap in the usual time.
	tookWeight = 0.3
	// mostHaste bounds how many times more targets than AtOnce swap at once when
	// time is short. Loads that share the way to the weights take longer, so that
	// more at once end no sooner.
	mostHaste = 2
)

// atOnce returns how many of the holders of a model swap at the same time. Each
// of due is since when one of the targets left is behind.
func (p *Plan) atOnce(now time.Time, holders int, due []time.Time) int {
	usual := max(1, int(math.Ceil(p.AtOnce*float64(holders))))
	took := p.took
	if took == 0 {
		took = firstTook
	}
	slices.SortFunc(due, time.Time.Compare)
	needed := usual
	for i, since := range due {
		rest := p.Within - now.Sub(since)
		if rest <= took {
			return mostHaste * usual
		}
		needed = max(needed, int(math.Ceil(float64(i+1)*took.Seconds()/rest.Seconds())))
	}
	return min(needed, mostHaste*usual)
}

// Order is one order that is due.
type Order struct {
	Target  fleet.Target
	Model   string
	Version int64
	// After is the number of orders that the target must have accepted before,
	// so that an order that is carried out late has no effect.
	After int64
	// Keep lets present runs go on under the new weights; otherwise the target
	// finishes them first.
	Keep bool
}

// Update takes in the targets and chooses further ones to swap. It reports
// whether the set of swapping targets has changed.
func (p *Plan) Update(now time.Time, targets []fleet.Target, named []RequestedVersion) bool {
	if p.swaps == nil {
		p.swaps = map[string]*swap{}
	}
	changed := p.forget(now, targets, named)
	for _, n := range named {
		if p.choose(now, targets, n) {
			changed = true
		}
	}
	return p.close(now) || changed
}

// order sorts the targets that wait for their swap. Those with the newest weights
// have the least cached that is of use and go first, until the time of those with
// the oldest weights is needed in full.
func (p *Plan) order(now time.Time, waiting []fleet.Target, n RequestedVersion, atOnce int) {
	slices.SortStableFunc(waiting, func(a, b fleet.Target) int {
		return cmp.Compare(b.Versions[n.Model], a.Versions[n.Model])
	})
	oldest := waiting[len(waiting)-1].Versions[n.Model]
	count := 0
	for _, t := range waiting {
		if t.Versions[n.Model] == oldest {
			count++
		}
	}
	rest := p.Within - now.Sub(n.BehindSince(oldest))
	rounds := (count+atOnce-1)/atOnce + 1
	if rest <= time.Duration(rounds)*max(p.took, firstTook) {
		slices.Reverse(waiting)
	}
}

// close takes targets out of use that have drained long enough, those that were
// chosen first.
func (p *Plan) close(now time.Time) bool {
	var drained []string
	room := max(p.loads, p.Loads)
	for id, s := range p.swaps {
		switch {
		case !s.closed.IsZero():
			room--
		case now.Sub(s.chosen) >= p.Drain:
			drained = append(drained, id)
		}
	}
	slices.SortFunc(drained, func(a, b string) int {
		return cmp.Or(p.swaps[a].chosen.Compare(p.swaps[b].chosen), cmp.Compare(a, b))
	})
	drained = drained[:min(len(drained), max(0, room))]
	for _, id := range drained {
		p.swaps[id].closed = now
	}
	return len(drained) > 0
}

// forget drops the swaps that are done, and those of targets that are gone.
func (p *Plan) forget(now time.Time, targets []fleet.Target, named []RequestedVersion) bool {
	due := map[string]bool{}
	for _, t := range targets {
		s := p.swaps[t.ID]
		if s == nil {
			continue
		}
		if t.Versions[s.model] >= s.version {
			p.learn(now.Sub(s.chosen))
			continue
		}
		for _, n := range named {
			due[t.ID] = due[t.ID] || behind(t, n)
		}
	}
	changed := false
	for id := range p.swaps {
		if !due[id] {
			delete(p.swaps, id)
			changed = true
		}
	}
	return changed
}

// learn takes the time of a finished swap into the usual one.
func (p *Plan) learn(took time.Duration) {
	if p.took == 0 {
		p.took = took
		return
	}
	p.took += time.Duration(tookWeight * float64(took-p.took))
}

// behind reports whether a target has to be brought to a version.
func behind(t fleet.Target, n RequestedVersion) bool {
	version, holds := t.Versions[n.Model]
	return holds && version < n.Version && !t.Leaving
}

// choose takes further targets out of use.
func (p *Plan) choose(now time.Time, targets []fleet.Target, n RequestedVersion) bool {
	var waiting []fleet.Target
	var due []time.Time
	holders, swapping := 0, 0
	for _, t := range targets {
		if _, holds := t.Versions[n.Model]; !holds {
			continue
		}
		holders++
		if !behind(t, n) {
			continue
		}
		due = append(due, n.BehindSince(t.Versions[n.Model]))
		if s := p.swaps[t.ID]; s != nil {
			if s.ordered.IsZero() {
				s.version = max(s.version, n.Version)
			}
			swapping++
			continue
		}
		waiting = append(waiting, t)
	}
	atOnce := p.atOnce(now, holders, due)
	p.loads = max(p.Loads, atOnce)
	room := atOnce - swapping
	if room <= 0 || len(waiting) == 0 {
		return false
	}
	p.order(now, waiting, n, atOnce)
	for _, t := range waiting[:min(room, len(waiting))] {
		p.swaps[t.ID] = &swap{model: n.Model, version: n.Version, chosen: now}
	}
	return true
}

// Swapping names the targets that are out of use, and those that get short work
// only, each in order.
func (p *Plan) Swapping() (closed, draining []string) {
	for id, s := range p.swaps {
		if s.closed.IsZero() {
			draining = append(draining, id)
		} else {
			closed = append(closed, id)
		}
	}
	slices.Sort(closed)
	slices.Sort(draining)
	return closed, draining
}

// Idle reports whether no target swaps.
func (p *Plan) Idle() bool { return len(p.swaps) == 0 }

// Due returns the orders to be sent now and notes them as sent.
func (p *Plan) Due(now time.Time, targets []fleet.Target) []Order {
	var due []Order
	for _, t := range targets {
		s := p.swaps[t.ID]
		if s == nil || s.closed.IsZero() || now.Sub(s.closed) < p.Settle {
			continue
		}
		if !s.ordered.IsZero() && now.Sub(s.ordered) < p.Repeat {
			continue
		}
		if !s.asked.IsZero() && now.Sub(s.asked) < orderPause {
			continue
		}
		s.asked = now
		due = append(due, Order{Target: t, Model: s.model, Version: s.version, Keep: p.Keep})
	}
	return due
}

// orderPause is the time between two tries of an order that wasn't accepted.
const orderPause = 500 * time.Millisecond

// Accepted notes that a target carries out an order.
func (p *Plan) Accepted(now time.Time, id string) {
	if s := p.swaps[id]; s != nil {
		s.ordered = now
	}
}

// Forget drops all swaps, when another host has taken over.
func (p *Plan) Forget() { clear(p.swaps) }
