package placement

import (
	"time"
)

// pendingFactor is the multiple of the expected time after which a request
// without a token counts as a slowness sample of its target.
const pendingFactor = 2

// minExpectedFirst is the lower bound of an expected time that is compared with
// a measured one. It suppresses noise on short times.
const minExpectedFirst = 20 * time.Millisecond

// Start records that a request is placed according to a decision.
func (b *Placer) Start(now time.Time, req *Request, d *Decision) Ticket {
	e := b.engines[d.Chosen.engineNumber]
	recomputed := req.PromptTokens - d.Chosen.ReusedTokens - d.Chosen.ImportedTokens
	t := Ticket{
		Target:        d.Target,
		PlacedAt:      now,
		ExpectedFirst: time.Duration(d.Chosen.FirstToken() / d.Chosen.Slowness * float64(time.Second)),
		TokenGap:      e.spec.TokenGap,
		Long:          req.Long,
		Suspect:       req.Suspect,
		pool:          b.pools[req.Model],
		engineNumber:  e.number,
		prefillTokens: float64(max(0, recomputed)),
		heldTokens:    float64(req.PromptTokens + req.AnswerTokens),
		prefilling:    true,
		active:        true,
	}
	e.inFlight++
	e.prefillTokens += t.prefillTokens
	e.heldTokens += t.heldTokens
	if t.Suspect {
		e.suspects++
	}
	if t.Long {
		e.longInFlight++
	}
	if d.Chosen.Source == SourceStore {
		b.ReserveLink(now, d.Store, float64(d.Chosen.ImportedTokens)*b.params.BytesPerToken)
	}
	t.load = e.pacedLoad()
	if d.Reason == ReasonShare {
		e.lacking--
	}
	e.updatePeak(now)
	// Requests with the same prefix may follow before the cache events arrive.
	for _, key := range req.Chain {
		b.cached.Add(key, e.number)
	}
	return t
}

// RecordFirstToken records the first token of a request.
func (b *Placer) RecordFirstToken(now time.Time, t *Ticket) {
	if !t.active || !t.prefilling {
		return
	}
	e := b.engines[t.engineNumber]
	t.decoding = true
	e.tokenRate.AddStreams(now, e.spec.TokenGap, 1)
	b.recordFirst(now, e, t, now.Sub(t.PlacedAt))
}

func (b *Placer) recordFirst(now time.Time, e *engine, t *Ticket, measured time.Duration) {
	b.endPrefill(e, t)
	b.clearSuspect(e, t)
	e.tracker.Observe(now, measured, t.adjustedExpectedFirst())
	t.first = measured
	observeTime(&t.pool.firstTime, measured)
	t.pool.observeFirst(measured, max(t.ExpectedFirst, minExpectedFirst))
}

// HedgeDue reports whether a request has waited long enough for its first token
// to justify a second attempt: ratio times the expected time, or the expected
// time itself if the slowness score of the target is at least SlowRatio. It also
// records a late first token as a slowness sample.
func (b *Placer) HedgeDue(now time.Time, t *Ticket, ratio float64) bool {
	if !t.active || !t.prefilling {
		return false
	}
	e := b.engines[t.engineNumber]
	expected := t.adjustedExpectedFirst()
	elapsed := now.Sub(t.PlacedAt)
	if elapsed > expected*pendingFactor {
		e.tracker.ObservePending(now, elapsed, expected)
	}
	if e.slowness(now) >= b.params.SlowRatio {
		ratio = 1
	}
	return elapsed > time.Duration(float64(expected)*ratio)
}

// RecordSilence records a slowness sample if a stream has had no token for longer
// than pendingFactor times its token gap or minExpectedFirst, whichever is greater.
func (b *Placer) RecordSilence(now time.Time, t *Ticket, elapsed time.Duration) {
	expected := max(t.TokenGap, minExpectedFirst) * pendingFactor
	if t.active && elapsed > expected {
		b.engines[t.engineNumber].tracker.ObservePending(now, elapsed, expected)
	}
}

// RecordTokens records that a request has delivered n more tokens.
func (b *Placer) RecordTokens(now time.Time, t *Ticket, n int) {
	if t.active {
		e := b.engines[t.engineNumber]
		e.tokenRate.AddTokens(n)
		e.slowness(now) // adds the token rate to the score
	}
}

// MarkLong records that a running request turned out to be long.
func (b *Placer) MarkLong(t *Ticket) {
	if t.active && !t.Long {
		t.Long = true
		b.engines[t.engineNumber].longInFlight++
	}
}

// Finish ends a request on its target. Further calls have no effect.
func (b *Placer) Finish(now time.Time, t *Ticket) {
	if !t.active {
		return
	}
	t.active = false
	e := b.engines[t.engineNumber]
	b.endPrefill(e, t)
	if t.Suspect {
		e.suspectEndedAt = now
	}
	e.inFlight--
	e.heldTokens = max(0, e.heldTokens-t.heldTokens)
	if t.decoding {
		t.decoding = false
		e.tokenRate.AddStreams(now, e.spec.TokenGap, -1)
	}
	b.clearSuspect(e, t)
	if t.Long {
		e.longInFlight--
		return
	}
	took := now.Sub(t.PlacedAt)
	e.requestTime += time.Duration(float64(took-e.requestTime) * requestTimeWeight)
	observeTime(&t.pool.requestTime, took)
}

func (b *Placer) endPrefill(e *engine, t *Ticket) {
	if t.prefilling {
		t.prefilling = false
		e.prefillTokens = max(0, e.prefillTokens-t.prefillTokens)
	}
}

// crashAttributionTime is the time after the end of a suspect during which the
// death of its target is attributed to it.
const crashAttributionTime = 2 * time.Second

// CrashedBySuspect reports whether the death of a target at this moment is
// attributed to a suspect that ran on it and had no first token. The other
// requests on the target are then not counted as crashing it.
func (b *Placer) CrashedBySuspect(now time.Time, target string) bool {
	e := b.find(target)
	if e == nil {
		return false
	}
	return e.suspects > 0 || (!e.suspectEndedAt.IsZero() && now.Sub(e.suspectEndedAt) < crashAttributionTime)
}

// clearSuspect allows the next suspect on the target.
func (b *Placer) clearSuspect(e *engine, t *Ticket) {
	if t.Suspect {
		t.Suspect = false
		e.suspects--
	}
}

// adjustedExpectedFirst returns the expected time to first token multiplied by
// the lateness of the pool.
func (t *Ticket) adjustedExpectedFirst() time.Duration {
	return time.Duration(float64(max(t.ExpectedFirst, minExpectedFirst)) * t.pool.lateness)
}
