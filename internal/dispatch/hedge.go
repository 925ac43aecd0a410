package dispatch

import (
	"context"
	"time"
)

// askHedge asks the owner of the pool whether a late first token requires a
// second attempt, and starts one if so.
func (r *run) askHedge(ctx context.Context, now time.Time) {
	if len(r.active) != 1 || r.attempts >= maxAttempts || now.Sub(r.hedgeAskedAt) < hedgeAskInterval {
		return
	}
	for _, at := range r.active {
		if now.Sub(at.ticket.PlacedAt) < max(at.ticket.ExpectedFirst, minimumHedgeAge) {
			return
		}
		r.hedgeAskedAt = now
		r.request.Exclude = append(r.request.Exclude, at.ticket.Target)
		answer := r.askOwnerToPlace(ctx, at.ownerTicket)
		if answer == nil || answer.Target == "" {
			r.request.Exclude = r.request.Exclude[:len(r.request.Exclude)-1]
			return
		}
		r.pool.next = answer
	}
	r.d.count("attempts.hedges")
	_, _ = r.start(ctx, "hedge")
}

// minimumHedgeAge is the minimum age of an attempt for which a second one is
// requested.
const minimumHedgeAge = 30 * time.Millisecond

// takeHedge reports whether a second attempt is due and allowed, and takes it
// from the budget.
func (r *run) takeHedge(now time.Time) bool {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	due := false
	for _, at := range r.active {
		due = r.d.placer.HedgeDue(now, &at.ticket, r.d.Config.Slowness.HedgeRatio)
	}
	return due && len(r.active) == 1 && r.attempts < maxAttempts && now.Sub(r.hedgeAskedAt) >= hedgeAskInterval && r.d.hedges.Spend()
}

// hedge starts a second attempt on another target if there is one. Otherwise, it returns the hedge
// to the budget.
func (r *run) hedge(ctx context.Context, now time.Time) {
	r.hedgeAskedAt = now
	excluded := len(r.request.Exclude)
	for _, at := range r.active {
		r.request.Exclude = append(r.request.Exclude, at.ticket.Target)
	}
	if started, _ := r.start(ctx, "hedge"); !started {
		r.d.returnHedge()
		r.request.Exclude = r.request.Exclude[:excluded]
		return
	}
	r.d.count("attempts.hedges")
}

// silentAttempt returns one of the attempts if all have been silent for too long, else nil.
func (r *run) silentAttempt(now time.Time) *attempt {
	var silent *attempt
	for _, at := range r.active {
		since := at.ticket.PlacedAt
		if at.tokens > 0 {
			since = r.lastToken
		}
		if now.Sub(since) <= r.firstTokenLimit(at) {
			return nil
		}
		silent = at
	}
	return silent
}

// askAnother starts an attempt on another target while that of an attempt is silent. The silent
// one may only be slow, so it goes on until one of them delivers the next token.
func (r *run) askAnother(ctx context.Context, now time.Time, silent *attempt) {
	if now.Sub(r.askedAnotherAt) < r.d.Config.Callers.StreamIdle.Duration || now.Sub(r.lookedAt) < lookInterval || r.attempts >= maxAttempts {
		return
	}
	if _, refused := r.refusedKey(); refused || !r.spendRetry() {
		return
	}
	r.lookedAt = now
	r.request.Exclude = append(r.request.Exclude, silent.ticket.Target)
	if started, _ := r.start(ctx, "silent"); !started {
		r.d.returnRetry()
		r.request.Exclude = r.request.Exclude[:len(r.request.Exclude)-1]
		return
	}
	r.d.count("attempts.retries")
	r.askedAnotherAt = now
	r.winner = nil
}

// lookInterval is the time between two searches for another target while that of an attempt is
// silent.
const lookInterval = time.Second

// keepWinner makes the only attempt that is left the one that answers, if it has delivered tokens.
func (r *run) keepWinner() {
	for _, at := range r.active {
		if len(r.active) == 1 && at.tokens > 0 {
			r.winner = at
		}
	}
}
