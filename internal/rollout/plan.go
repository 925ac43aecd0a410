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

// Named is the version of a model that operators ask for.
type Named struct {
	Model   string
	Version int64
	// Since is when this host heard of it.
	Since time.Time
}

// swap is one target on its way to a version.
type swap struct {
	model   string
	version int64
	// chosen is when the target was taken out of use, ordered when it accepted.
	chosen  time.Time
	ordered time.Time
	asked   time.Time
}

// Plan decides which targets swap next. It does no I/O and reads no clock; its
// caller serializes access.
type Plan struct {
	// AtOnce is the share of a model's targets that swap at the same time.
	AtOnce float64
	// Within is the time in which all targets hold the version asked for.
	Within time.Duration
	// Settle is the time between taking a target out of use and the order.
	Settle time.Duration
	// Keep lets runs that are left after Settle go on under the new weights.
	Keep bool
	// Repeat is the time after which an order is sent again.
	Repeat time.Duration

	swaps map[string]*swap
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
func (p *Plan) Update(now time.Time, targets []fleet.Target, named []Named) bool {
	if p.swaps == nil {
		p.swaps = map[string]*swap{}
	}
	changed := p.forget(targets, named)
	for _, n := range named {
		if p.choose(now, targets, n) {
			changed = true
		}
	}
	return changed
}

// forget drops the swaps that are done, and those of targets that are gone.
func (p *Plan) forget(targets []fleet.Target, named []Named) bool {
	due := map[string]bool{}
	for _, t := range targets {
		for _, n := range named {
			if behind(t, n) {
				due[t.ID] = true
			}
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

// behind reports whether a target has to be brought to a version.
func behind(t fleet.Target, n Named) bool {
	version, holds := t.Versions[n.Model]
	return holds && version < n.Version && !t.Leaving
}

// choose takes further targets out of use.
func (p *Plan) choose(now time.Time, targets []fleet.Target, n Named) bool {
	var waiting []fleet.Target
	holders, swapping := 0, 0
	for _, t := range targets {
		if _, holds := t.Versions[n.Model]; !holds {
			continue
		}
		holders++
		if !behind(t, n) {
			continue
		}
		if s := p.swaps[t.ID]; s != nil {
			s.version = max(s.version, n.Version)
			swapping++
			continue
		}
		waiting = append(waiting, t)
	}
	room := max(1, int(math.Ceil(p.AtOnce*float64(holders)))) - swapping
	if now.Sub(n.Since) > p.Within {
		room = len(waiting)
	}
	if room <= 0 || len(waiting) == 0 {
		return false
	}
	// Those with the newest weights have the least cached that is of use.
	slices.SortStableFunc(waiting, func(a, b fleet.Target) int {
		return cmp.Compare(b.Versions[n.Model], a.Versions[n.Model])
	})
	for _, t := range waiting[:min(room, len(waiting))] {
		p.swaps[t.ID] = &swap{model: n.Model, version: n.Version, chosen: now}
	}
	return true
}

// Swapping names the targets that are out of use, in order.
func (p *Plan) Swapping() []string {
	ids := make([]string, 0, len(p.swaps))
	for id := range p.swaps {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Due returns the orders to be sent now and notes them as sent.
func (p *Plan) Due(now time.Time, targets []fleet.Target) []Order {
	var due []Order
	for _, t := range targets {
		s := p.swaps[t.ID]
		if s == nil || now.Sub(s.chosen) < p.Settle {
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
