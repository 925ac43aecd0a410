package placement

import (
	"time"
)

// pendingFactor is how many times the expected time a request may take before
// its target counts as slowed without an answer.
const pendingFactor = 2

// minimumExpected is the least expected time that is compared with a measured
// one, so that noise on short times doesn't count.
const minimumExpected = 20 * time.Millisecond

// Start counts a request as placed according to a decision.
func (b *Placer) Start(now time.Time, req *Request, d *Decision) Ticket {
	e := b.engines[d.Chosen.number]
	recomputed := req.PromptTokens - d.Chosen.ReusedTokens - d.Chosen.ImportedTokens
	t := Ticket{
		Target:        d.Target,
		PlacedAt:      now,
		ExpectedFirst: time.Duration(d.Chosen.FirstToken() / d.Chosen.Slowness * float64(time.Second)),
		TokenGap:      e.spec.TokenGap,
		Long:          req.Long,
		Suspect:       req.Suspect,
		pool:          b.pools[req.Model],
		number:        e.number,
		prefill:       float64(max(0, recomputed)),
		held:          float64(req.PromptTokens + req.AnswerTokens),
		prefilling:    true,
		active:        true,
	}
	e.inFlight++
	e.prefillTokens += t.prefill
	e.heldTokens += t.held
	if t.Suspect {
		e.suspects++
	}
	if t.Long {
		e.long++
	}
	if d.Chosen.Source == SourceStore {
		b.ReserveLink(now, d.Store, float64(d.Chosen.ImportedTokens)*b.params.BytesPerToken)
	}
	e.notePeak(now)
	for _, key := range req.Chain {
		b.index.Add(key, e.number)
	}
	return t
}

// RecordFirstToken notes the first token of a request.
func (b *Placer) RecordFirstToken(now time.Time, t *Ticket) {
	if !t.active || !t.prefilling {
		return
	}
	e := b.engines[t.number]
	b.endPrefill(e, t)
	b.clearSuspect(e, t)
	t.decoding = true
	e.tokens.AddStreams(now, e.spec.TokenGap, 1)
	measured := now.Sub(t.PlacedAt)
	e.slow.Observe(now, measured, t.usualFirst())
	t.pool.observeFirst(measured, max(t.ExpectedFirst, minimumExpected))
}

// HedgeDue reports whether a request waits so long for its first token that a
// second attempt is worth its cost: ratio times the expected time, or just the
// expected time once its target is found to be slowed.
func (b *Placer) HedgeDue(now time.Time, t *Ticket, ratio float64) bool {
	if !t.active || !t.prefilling {
		return false
	}
	e := b.engines[t.number]
	expected := t.usualFirst()
	elapsed := now.Sub(t.PlacedAt)
	if elapsed > expected*pendingFactor {
		e.slow.ObservePending(now, elapsed, expected)
	}
	if e.slowness(now) >= b.params.SlowRatio {
		ratio = 1
	}
	return elapsed > time.Duration(float64(expected)*ratio)
}

// RecordSilence notes that a stream has had no token for a while.
func (b *Placer) RecordSilence(now time.Time, t *Ticket, silent time.Duration) {
	expected := max(t.TokenGap, minimumExpected) * pendingFactor
	if t.active && silent > expected {
		b.engines[t.number].slow.ObservePending(now, silent, expected)
	}
}

// RecordTokens notes that a request has delivered n more tokens.
func (b *Placer) RecordTokens(now time.Time, t *Ticket, n int) {
	if t.active {
		e := b.engines[t.number]
		e.tokens.AddTokens(n)
		e.slowness(now)
	}
}

// MarkLong notes that a request turned out to be long.
func (b *Placer) MarkLong(t *Ticket) {
	if t.active && !t.Long {
		t.Long = true
		b.engines[t.number].long++
	}
}

// Finish ends a request on its target. It may be called again without effect.
func (b *Placer) Finish(now time.Time, t *Ticket) {
	if !t.active {
		return
	}
	t.active = false
	e := b.engines[t.number]
	b.endPrefill(e, t)
	if t.Suspect {
		e.suspectLeft = now
	}
	e.inFlight--
	e.heldTokens = max(0, e.heldTokens-t.held)
	if t.decoding {
		t.decoding = false
		e.tokens.AddStreams(now, e.spec.TokenGap, -1)
	}
	b.clearSuspect(e, t)
	if t.Long {
		e.long--
		return
	}
	held := now.Sub(t.PlacedAt)
	e.jobTime += time.Duration(float64(held-e.jobTime) * jobSampleWeight)
}

func (b *Placer) endPrefill(e *engine, t *Ticket) {
	if t.prefilling {
		t.prefilling = false
		e.prefillTokens = max(0, e.prefillTokens-t.prefill)
	}
}

// blameFor is how long the death of a target is put down to the suspect that ran
// on it.
const blameFor = 2 * time.Second

// CrashedBySuspect reports whether the death of a target just now is put down to a suspect
// that ran on it without a first token. Other requests there are then innocent.
func (b *Placer) CrashedBySuspect(now time.Time, target string) bool {
	e := b.find(target)
	if e == nil {
		return false
	}
	return e.suspects > 0 || (!e.suspectLeft.IsZero() && now.Sub(e.suspectLeft) < blameFor)
}

// clearSuspect lets the next suspect onto the target.
func (b *Placer) clearSuspect(e *engine, t *Ticket) {
	if t.Suspect {
		t.Suspect = false
		e.suspects--
	}
}

// usualFirst returns the expected time to the first token with the lateness that
// is usual in the pool.
func (t *Ticket) usualFirst() time.Duration {
	return time.Duration(float64(max(t.ExpectedFirst, minimumExpected)) * t.pool.lateness)
}
