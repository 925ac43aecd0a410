package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
)

const (
	// stateInterval is the time between two reads of the state of a target that swaps. The operators of
	// targets bill each read like a health probe.
	stateInterval = 250 * time.Millisecond
	// stateTimeout limits one read.
	stateTimeout = 500 * time.Millisecond
	// readCheckInterval is the time between two checks for due reads.
	readCheckInterval = 50 * time.Millisecond
)

// DueReads returns the targets whose state is to be read now, and records the reads: those that have
// accepted an order and may have finished, until the order is repeated.
func (p *Plan) DueReads(now time.Time, targets []fleet.Target) []fleet.Target {
	var due []fleet.Target
	for _, t := range targets {
		s := p.swaps[t.ID]
		if s == nil || s.acceptedAt.IsZero() {
			continue
		}
		since := now.Sub(s.acceptedAt)
		if since < max(stateInterval, p.loadTime-stateInterval) || since >= p.RepeatAfter || now.Sub(s.readAt) < stateInterval {
			continue
		}
		s.readAt = now
		due = append(due, t)
	}
	return due
}

// Reported applies the state that a target has reported to a read that began at readAt. t is the target as
// it was listed then. It reports whether the state shows that the swap of the target has ended, and how long
// after the acceptance of its order.
//
// A state may be older than the order. It does not end the swap then, since the target was ordered to load
// a version that it did not have.
func (p *Plan) Reported(now, readAt time.Time, t fleet.Target, state *TargetState) (after time.Duration, ended bool) {
	s := p.swaps[t.ID]
	if s == nil || state.Busy || state.Versions[s.model] < s.version {
		return 0, false
	}
	p.reports.HoldFor = p.RepeatAfter
	p.reports.Record(readAt, t, state.Versions)
	delete(p.swaps, t.ID)
	if !s.acceptedAt.IsZero() {
		after = now.Sub(s.acceptedAt)
		if p.loadTime == 0 || after < p.loadTime {
			p.loadTime = after
		}
	}
	if p.OpensEarly != nil && p.OpensEarly(t.ID) {
		p.recordSwapTime(now.Sub(s.chosenAt))
		return after, true
	}
	if p.awaited == nil {
		p.awaited = map[string]*swap{}
	}
	p.awaited[t.ID] = s
	return after, true
}

// applyReports returns the targets with the versions that they have reported, and opens the awaited
// targets whose rows state these versions. It reports whether it opened any. If the row doesn't follow, or
// is that of another process, the order is due again.
func (p *Plan) applyReports(now time.Time, listed []fleet.Target) (targets []fleet.Target, opened bool) {
	kept := make(map[string]*swap, len(p.awaited))
	for _, t := range listed {
		s := p.awaited[t.ID]
		switch {
		case s == nil:
		case t.Versions[s.model] >= s.version:
			p.recordSwapTime(now.Sub(s.chosenAt))
		case p.reports.Ahead(now, t):
			kept[t.ID] = s
		default:
			s.acceptedAt = time.Time{}
			p.swaps[t.ID] = s
		}
	}
	opened = len(kept) < len(p.awaited)
	p.awaited = kept
	return p.reports.Apply(now, listed), opened
}

// readStates reads the due states until ctx ends. Reads and orders don't wait for each other.
func (l *Leader) readStates(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	clock.Every(ctx, l.Clock, readCheckInterval, func(ctx context.Context) {
		for _, t := range l.dueReads() {
			reads.Go(func() { l.readState(ctx, t) })
		}
	})
}

func (l *Leader) dueReads() []fleet.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Steady.Now()
	if l.Plan.Idle() || !l.Lease.Holds(now, 0) {
		return nil
	}
	due := l.Plan.DueReads(now, l.Fleet.Targets())
	if l.MayRead == nil {
		return due
	}
	allowed := due[:0]
	for i := range due {
		if l.MayRead(due[i].ID) {
			allowed = append(allowed, due[i])
		}
	}
	return allowed
}

func (l *Leader) readState(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	readAt := l.Steady.Now()
	state, err := l.Targets.State(ctx, t)
	if state.Leaving {
		l.Fleet.MarkLeaving(t.ID, t.Started)
	}
	if err != nil {
		l.count("rollout.statesFailed")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyState(readAt, t, &state)
}

// applyState applies the state that a target has reported to a read that began at readAt. The lock must be
// held.
func (l *Leader) applyState(readAt time.Time, t fleet.Target, state *TargetState) {
	after, ended := l.Plan.Reported(l.Steady.Now(), readAt, t, state)
	if !ended {
		return
	}
	l.count("rollout.endsReported")
	l.Log.Info().Str("part", "rollout").Str("target", t.ID).Any("versions", state.Versions).Dur("after", after).
		Msg("rollout: swap ended, according to the state of the target")
}

func (l *Leader) count(name string) {
	if l.Metrics != nil {
		metrics.GetOrRegisterCounter(name, l.Metrics).Inc(1)
	}
}
