package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/admission"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/target"
)

const (
	// eventRing bounds the events between the attempts and the run.
	eventRing = 64
	// maxAttempts bounds the attempts of one request over all targets.
	maxAttempts = 6
	// firstTokenTick is how often a run without a first token is looked at.
	firstTokenTick = 25 * time.Millisecond
	// streamTick is how often a running stream is looked at.
	streamTick = 500 * time.Millisecond
	// noTargetPause is the time between two tries to find a target.
	noTargetPause = 50 * time.Millisecond
)

// Causes for which this host itself ends an attempt. The target is alive.
var (
	errCrossed = errors.New("event belongs to another attempt")
	errGap     = errors.New("tokens are missing")
	errSilent  = errors.New("no token for too long")
)

// endedHere reports whether this host ended an attempt.
func endedHere(err error) bool {
	return errors.Is(err, errCrossed) || errors.Is(err, errGap) || errors.Is(err, errSilent)
}

// run is one request on its way through its attempts.
type run struct {
	d           *Dispatcher
	generation  *GenerationRequest
	sink        AnswerWriter
	id          string
	startedAt   time.Time
	fingerprint string
	request     placement.Request
	job         *admission.Job

	// pool is the job at the home of the pool, nil when this host decides.
	pool     *poolJob
	poolName string
	inShare  bool

	events   chan attemptEvent
	active   map[int]*attempt
	winner   *attempt
	attempts int
	// sent is set when an attempt may have run.
	sent       bool
	begun      bool
	text       strings.Builder
	tokens     int
	reused     int
	lastTarget string
	lastToken  time.Time
	hedgeAsked time.Time
	// diedOn is the target that last died after it had delivered tokens.
	diedOn string
	done   bool
	finish string
}

func (r *run) usage() Usage {
	return Usage{
		RequestID:    r.id,
		Version:      r.request.Version,
		PromptTokens: r.request.PromptTokens,
		AnswerTokens: r.tokens,
		ReusedTokens: r.reused,
		FinishReason: r.finish,
	}
}

func (r *run) actualWork() float64 {
	return float64(r.request.PromptTokens + answerWork*r.tokens)
}

// generate drives the request to its end.
func (r *run) generate(ctx context.Context) error {
	defer r.closeAttempts()
	if err := r.launch(ctx); err != nil {
		return err
	}
	tick := r.d.Clock.After(firstTokenTick)
	for !r.done {
		select {
		case event := <-r.events:
			if err := r.handle(ctx, event); err != nil {
				return err
			}
		case <-tick:
			if err := r.look(ctx); err != nil {
				return err
			}
			tick = r.d.Clock.After(r.tickInterval())
		case <-ctx.Done():
			return r.fail(failure.DeadlineExceeded, "the request ended before its answer: %v", ctx.Err())
		}
	}
	return nil
}

func (r *run) tickInterval() time.Duration {
	if r.winner == nil {
		return firstTokenTick
	}
	return streamTick
}

// handle takes in one event of an attempt.
func (r *run) handle(ctx context.Context, event attemptEvent) error {
	at := r.active[event.attempt]
	if at == nil || (r.winner != nil && r.winner != at) {
		r.d.count("attempts.lateEvents")
		return nil
	}
	if event.err != nil {
		return r.attemptFailed(ctx, at, event.err)
	}
	if event.event.RequestID != r.id || event.event.Attempt != at.number {
		r.d.count("attempts.crossedEvents")
		return r.attemptFailed(ctx, at, &target.BrokenError{Sent: true, Err: errCrossed})
	}
	if event.event.FinishReason != "" {
		return r.complete(ctx, at, &event.event)
	}
	return r.token(ctx, at, &event.event)
}

// token delivers the next token. A repeated one is dropped, a missing one ends
// the attempt.
func (r *run) token(ctx context.Context, at *attempt, event *target.RunEvent) error {
	if event.Index < r.tokens {
		return nil
	}
	if event.Index > r.tokens {
		return r.attemptFailed(ctx, at, &target.BrokenError{Sent: true, Err: errGap})
	}
	now := r.d.Clock.Now()
	if r.winner == nil {
		r.win(now, at)
	}
	if !r.begun {
		r.begun = true
		if err := r.sink.Begin(r.id, r.request.Version); err != nil {
			return r.fail(failure.DeadlineExceeded, "the caller went away: %v", err)
		}
	}
	at.delivered = true
	r.text.WriteString(event.Text)
	r.tokens++
	r.measure(now, at)
	if err := r.sink.Token(event.Text); err != nil {
		return r.fail(failure.DeadlineExceeded, "the caller went away: %v", err)
	}
	if len(r.events) > 0 {
		return nil
	}
	if err := r.sink.Flush(); err != nil {
		return r.fail(failure.DeadlineExceeded, "the caller went away: %v", err)
	}
	return nil
}

// win makes an attempt the one that answers and cancels the others.
func (r *run) win(now time.Time, at *attempt) {
	r.winner = at
	r.lastTarget = at.ticket.Target
	r.lastToken = now
	r.d.mu.Lock()
	r.d.board.RecordFirstToken(now, &at.ticket)
	r.d.mu.Unlock()
	r.d.observer.firstToken(now, at)
	for _, other := range r.active {
		if other != at {
			r.cancel(other)
		}
	}
}

// measure compares the tokens of the target with those expected, and corrects
// the length estimate of a request that runs on.
func (r *run) measure(now time.Time, at *attempt) {
	r.lastToken = now
	turnedLong := r.tokens > r.d.Config.Placement.LongTokens && !r.request.Long
	r.d.observer.note(at, func(known *wire.Observation) {
		known.Tokens++
		known.Long = known.Long || turnedLong
	})
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.d.board.RecordTokens(now, &at.ticket, 1)
	if turnedLong {
		r.request.Long = true
		r.d.board.MarkLong(&at.ticket)
		r.d.queue.MarkLong(r.job)
	}
}

// complete takes in the last event of an answer.
func (r *run) complete(ctx context.Context, at *attempt, event *target.RunEvent) error {
	if event.Index != r.tokens {
		return r.attemptFailed(ctx, at, &target.BrokenError{Sent: true, Err: errGap})
	}
	if r.winner == nil {
		r.win(r.d.Clock.Now(), at)
	}
	r.done = true
	r.finish = event.FinishReason
	r.reused = event.ReusedTokens
	if !r.begun {
		r.begun = true
		return r.sink.Begin(r.id, r.request.Version)
	}
	return nil
}

// look checks a run for slowness and silence.
func (r *run) look(ctx context.Context) error {
	now := r.d.Clock.Now()
	if r.winner != nil {
		silent := now.Sub(r.lastToken)
		r.d.mu.Lock()
		r.d.board.RecordSilence(now, &r.winner.ticket, silent)
		r.d.mu.Unlock()
		if silent < r.d.Config.Callers.StreamIdle.Duration {
			return nil
		}
		return r.attemptFailed(ctx, r.winner, &target.BrokenError{Sent: true, Err: errSilent})
	}
	for _, at := range r.active {
		if now.Sub(at.ticket.PlacedAt) > r.firstTokenLimit(at) {
			return r.attemptFailed(ctx, at, &target.BrokenError{Sent: true, Err: errSilent})
		}
	}
	if r.pool != nil && !r.pool.lost {
		r.askHedge(ctx, now)
		return nil
	}
	if r.wantsHedge(now) {
		r.hedge(ctx)
	}
	return nil
}

// askHedge asks the home of the pool whether a late first token calls for a
// second attempt.
func (r *run) askHedge(ctx context.Context, now time.Time) {
	if len(r.active) != 1 || r.attempts >= maxAttempts || now.Sub(r.hedgeAsked) < hedgeAskEvery {
		return
	}
	for _, at := range r.active {
		if now.Sub(at.ticket.PlacedAt) < max(at.ticket.ExpectedFirst, minimumHedgeAge) {
			return
		}
		r.hedgeAsked = now
		r.request.Exclude = append(r.request.Exclude, at.ticket.Target)
		answer := r.askPlace(ctx, at.homeTicket)
		if answer == nil || answer.Target == "" {
			r.request.Exclude = r.request.Exclude[:len(r.request.Exclude)-1]
			return
		}
		r.pool.next = answer
	}
	r.d.count("attempts.hedges")
	_, _ = r.start(ctx, "hedge")
}

// minimumHedgeAge is the age of an attempt before which nobody asks for a second
// one.
const minimumHedgeAge = 30 * time.Millisecond

// firstTokenLimit is how long an attempt may take to its first token.
func (r *run) firstTokenLimit(at *attempt) time.Duration {
	late := time.Duration(float64(at.ticket.ExpectedFirst) * r.d.Config.Slowness.HedgeRatio)
	return max(r.d.Config.Callers.StreamIdle.Duration, late)
}

// wantsHedge reports whether a second attempt is due and allowed.
func (r *run) wantsHedge(now time.Time) bool {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	due := false
	for _, at := range r.active {
		due = r.d.board.HedgeDue(now, &at.ticket, r.d.Config.Slowness.HedgeRatio)
	}
	return due && len(r.active) == 1 && r.attempts < maxAttempts && r.d.hedges.Spend()
}

// hedge starts a second attempt on another target, if there is one.
func (r *run) hedge(ctx context.Context) {
	r.d.count("attempts.hedges")
	for _, at := range r.active {
		r.request.Exclude = append(r.request.Exclude, at.ticket.Target)
	}
	_, _ = r.start(ctx, "hedge")
}

// attemptFailed decides what follows when an attempt ends without an answer.
func (r *run) attemptFailed(ctx context.Context, at *attempt, err error) error {
	r.end(at)
	at.cancel()
	if r.winner == at {
		r.winner = nil
	}
	retryable, free := r.classify(at, err)
	if len(r.active) > 0 {
		return nil
	}
	if !retryable {
		return r.fail(failure.TargetFailed, "%v", err)
	}
	if r.proven() {
		r.refuseEverywhere()
		return r.fail(failure.CrashesTargets, "targets died while they ran this request; fingerprint %s", r.fingerprint)
	}
	if r.attempts >= maxAttempts || (!free && !r.spendRetry()) {
		return r.fail(failure.TargetFailed, "no further attempt is allowed after: %v", err)
	}
	if !free {
		r.d.count("attempts.retries")
		if clock.Sleep(ctx, r.d.Clock, r.backoff()) != nil {
			return r.fail(failure.DeadlineExceeded, "the request ended before its answer: %v", ctx.Err())
		}
	}
	return r.launch(ctx)
}

// classify notes what a failed attempt tells of its target. A retry is free
// when the target has done no work for the request.
func (r *run) classify(at *attempt, err error) (retryable, free bool) {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.request.Exclude = append(r.request.Exclude, at.ticket.Target)
	var refusal *target.RefusalError
	if errors.As(err, &refusal) {
		r.sent = r.sent || !refusal.NotRun
		switch refusal.Code {
		case target.CodeLeaving:
			r.d.board.MarkLeaving(r.d.Clock.Now(), at.ticket.Target)
			r.d.observer.targetGone(at, true)
			return true, true
		case target.CodeVersionNotLoaded:
			return true, true
		default:
			return refusal.Status >= http.StatusInternalServerError, refusal.NotRun
		}
	}
	if target.NotRun(err) {
		r.d.board.MarkUnreachable(at.ticket.Target)
		r.d.observer.targetGone(at, false)
		return true, true
	}
	r.sent = true
	if !endedHere(err) {
		r.d.board.MarkUnreachable(at.ticket.Target)
		r.d.observer.targetGone(at, false)
		r.countCrash(at)
	}
	return true, false
}

// countCrash makes the request a suspect of a target's death, unless it had got
// tokens there and another suspect had not. The lock must be held.
func (r *run) countCrash(at *attempt) {
	now := r.d.Clock.Now()
	if at.delivered && r.d.board.CrashedBySuspect(now, at.ticket.Target) {
		return
	}
	r.d.suspects.RecordCrash(now, r.fingerprint)
	r.request.Suspect = true
	r.diedOn = ""
	if at.delivered {
		r.diedOn = at.ticket.Target
	}
}

func (r *run) proven() bool {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	return r.d.suspects.Exhausted(r.d.Clock.Now(), r.fingerprint)
}

// refuseWithin bounds the write that makes all hosts refuse a request.
const refuseWithin = 30 * time.Second

// refuseEverywhere makes all hosts refuse the request. Peers learn of the
// suspect by their reports as well, so a failed write is not fatal.
func (r *run) refuseEverywhere() {
	d := r.d
	until := d.Clock.Now().Add(d.Config.Retries.SuspectFor.Duration).UTC()
	d.Log.Warn().Str("part", "suspects").Str("requestId", r.id).Str("clientAccount", r.request.Account).
		Str("fingerprint", r.fingerprint).Time("until", until).Msg("suspects: refuse request")
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), refuseWithin)
		defer cancel()
		if err := d.Refuser.Refuse(ctx, r.fingerprint, r.request.Account, until); err != nil {
			d.Log.Warn().Str("part", "suspects").Str("fingerprint", r.fingerprint).Err(err).Msg("suspects: refusal is not recorded")
		}
	}()
}

func (r *run) spendRetry() bool {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	return r.d.retries.Spend()
}

func (r *run) backoff() time.Duration {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	return r.d.backoff.Delay(r.d.rng, r.attempts)
}

// fail ends the run with an error. It says "not run" only when no attempt may
// have run.
func (r *run) fail(code failure.Code, format string, args ...any) error {
	r.d.count("requests.failed")
	if !r.sent && len(r.active) == 0 {
		return failure.Busy(code, time.Second, format, args...)
	}
	return failure.MaybeRun(code, format, args...)
}
