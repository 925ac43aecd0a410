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
	"sassafrasplank.example/sassafrasplank/internal/retry"
	"sassafrasplank.example/sassafrasplank/internal/target"
)

const (
	// eventBuffer is the number of events buffered between the attempts and the
	// run.
	eventBuffer = 64
	// maxAttempts is the maximum number of attempts of one request on all
	// targets.
	maxAttempts = 6
	// firstTokenCheckInterval is how often a run without a first token is
	// checked.
	firstTokenCheckInterval = 25 * time.Millisecond
	// streamCheckInterval is how often a running stream is checked.
	streamCheckInterval = 500 * time.Millisecond
	// targetRetryPause is the pause between two attempts to find a target.
	targetRetryPause = 50 * time.Millisecond
)

// Errors with which this host itself ends an attempt. They don't show that the
// target has crashed or is unreachable.
var (
	errMisdirected = errors.New("event belongs to another attempt")
	errGap         = errors.New("tokens are missing")
)

// endedLocally reports whether this host itself ended an attempt.
func endedLocally(err error) bool {
	return errors.Is(err, errMisdirected) || errors.Is(err, errGap)
}

// run is the state of one request over its attempts.
type run struct {
	d          *Dispatcher
	generation *GenerationRequest
	sink       Sink
	id         string
	startedAt  time.Time
	// keys are what is suspect when a target crashes. probe is set while the request may run
	// although one of them is blamed, until its first attempt fails.
	keys    retry.Keys
	probe   bool
	request placement.Request
	job     *admission.Job

	// pool is the job at the owner of the pool, nil if this host admitted the
	// request.
	pool     *poolJob
	poolName string
	// inShare reports whether the client account was within its fair share when the
	// owner admitted the request.
	inShare bool

	events   chan attemptEvent
	active   map[int]*attempt
	winner   *attempt
	attempts int
	// mayHaveRun is set once an attempt that may have run has ended.
	mayHaveRun   bool
	begun        bool
	text         strings.Builder
	tokens       int
	reusedTokens int
	lastTarget   string
	lastToken    time.Time
	hedgeAskedAt time.Time
	// askedAnotherAt is when another target was last asked since all attempts were silent,
	// lookedAt when one was last searched for.
	askedAnotherAt, lookedAt time.Time
	// diedOn is the target of the last counted crash, or empty if it had delivered no
	// tokens. It is cleared once the owner of the pool has answered whether another
	// request caused the crash.
	diedOn       string
	done         bool
	finishReason string
}

func (r *run) usage() Usage {
	return Usage{
		RequestID:    r.id,
		Version:      r.request.Version,
		PromptTokens: r.request.PromptTokens,
		AnswerTokens: r.tokens,
		ReusedTokens: r.reusedTokens,
		FinishReason: r.finishReason,
	}
}

func (r *run) actualWork() float64 {
	return float64(r.request.PromptTokens + answerTokenWork*r.tokens)
}

// generate runs the request until it is answered or has failed.
func (r *run) generate(ctx context.Context) error {
	defer r.closeAttempts()
	if err := r.launch(ctx); err != nil {
		return err
	}
	tick := r.d.Clock.After(firstTokenCheckInterval)
	for !r.done {
		select {
		case event := <-r.events:
			if err := r.handleEvent(ctx, event); err != nil {
				return err
			}
		case <-tick:
			if err := r.checkProgress(ctx); err != nil {
				return err
			}
			tick = r.d.Clock.After(r.checkInterval())
		case <-ctx.Done():
			return r.fail(failure.DeadlineExceeded, "the request was cancelled or timed out before its answer was complete: %v", ctx.Err())
		}
	}
	return nil
}

func (r *run) checkInterval() time.Duration {
	if r.winner == nil {
		return firstTokenCheckInterval
	}
	return streamCheckInterval
}

// handleEvent handles one event of an attempt.
func (r *run) handleEvent(ctx context.Context, event attemptEvent) error {
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
		return r.attemptFailed(ctx, at, &target.BrokenError{Sent: true, Err: errMisdirected})
	}
	if event.event.FinishReason != "" {
		return r.complete(ctx, at, &event.event)
	}
	return r.deliverToken(ctx, at, &event.event)
}

// deliverToken delivers the next token. A repeated token is dropped, a missing
// one ends the attempt.
func (r *run) deliverToken(ctx context.Context, at *attempt, event *target.RunEvent) error {
	if event.Index < r.tokens {
		return nil
	}
	if event.Index > r.tokens {
		return r.attemptFailed(ctx, at, &target.BrokenError{Sent: true, Err: errGap})
	}
	now := r.d.Clock.Now()
	if r.winner == nil {
		r.selectWinner(now, at)
	}
	if !r.begun {
		r.begun = true
		if err := r.sink.Begin(r.id, r.request.Version); err != nil {
			return r.fail(failure.DeadlineExceeded, "the caller disconnected: %v", err)
		}
	}
	at.tokens++
	r.text.WriteString(event.Text)
	r.tokens++
	r.recordToken(now, at)
	if err := r.sink.Token(event.Text); err != nil {
		return r.fail(failure.DeadlineExceeded, "the caller disconnected: %v", err)
	}
	if len(r.events) > 0 {
		return nil
	}
	if err := r.sink.Flush(); err != nil {
		return r.fail(failure.DeadlineExceeded, "the caller disconnected: %v", err)
	}
	return nil
}

// selectWinner makes an attempt the one that answers, and cancels the others.
func (r *run) selectWinner(now time.Time, at *attempt) {
	r.winner = at
	r.lastTarget = at.ticket.Target
	r.lastToken = now
	r.d.mu.Lock()
	r.d.placer.RecordFirstToken(now, &at.ticket)
	r.d.mu.Unlock()
	r.d.observer.recordFirstToken(now, at)
	for _, other := range r.active {
		if other != at {
			r.cancelAttempt(other)
		}
	}
}

// recordToken reports a token to the placer and the owner of the pool, and marks
// the request as long once its answer turns out to be.
func (r *run) recordToken(now time.Time, at *attempt) {
	r.lastToken = now
	turnedLong := r.tokens > r.d.Config.Placement.LongTokens && !r.request.Long
	r.d.observer.update(at, func(obs *wire.Observation) {
		obs.Tokens++
		obs.Long = obs.Long || turnedLong
	})
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.d.placer.RecordTokens(now, &at.ticket, 1)
	if at.tokens == answeringTokens {
		r.d.suspects.RecordAnswer(now, r.keys)
	}
	if turnedLong {
		r.request.Long = true
		r.d.placer.MarkLong(&at.ticket)
		r.d.queue.MarkLong(r.job)
	}
}

// complete handles the last event of an answer.
func (r *run) complete(ctx context.Context, at *attempt, event *target.RunEvent) error {
	if event.Index != r.tokens {
		return r.attemptFailed(ctx, at, &target.BrokenError{Sent: true, Err: errGap})
	}
	if r.winner == nil {
		r.selectWinner(r.d.Clock.Now(), at)
	}
	r.done = true
	r.finishReason = event.FinishReason
	r.reusedTokens = event.ReusedTokens
	if !r.begun {
		r.begun = true
		return r.sink.Begin(r.id, r.request.Version)
	}
	return nil
}

// checkProgress checks a run for slowness and silence.
func (r *run) checkProgress(ctx context.Context) error {
	now := r.d.Clock.Now()
	if r.winner != nil {
		silent := now.Sub(r.lastToken)
		r.d.mu.Lock()
		r.d.placer.RecordSilence(now, &r.winner.ticket, silent)
		r.d.mu.Unlock()
		if silent >= r.d.Config.Callers.StreamIdle.Duration {
			r.askAnother(ctx, now, r.winner)
		}
		return nil
	}
	if at := r.silentAttempt(now); at != nil {
		r.askAnother(ctx, now, at)
		return nil
	}
	if _, refused := r.refusedKey(); refused {
		return nil
	}
	if r.pool != nil && !r.pool.ownerLost {
		r.askHedge(ctx, now)
		return nil
	}
	if r.takeHedge(now) {
		r.hedge(ctx, now)
	}
	return nil
}

// firstTokenLimit returns how long an attempt may take until its first token.
func (r *run) firstTokenLimit(at *attempt) time.Duration {
	late := time.Duration(float64(at.ticket.ExpectedFirst) * r.d.Config.Slowness.HedgeRatio)
	return max(r.d.Config.Callers.StreamIdle.Duration, late)
}

// attemptFailed decides what follows an attempt that has ended without a
// complete answer.
func (r *run) attemptFailed(ctx context.Context, at *attempt, err error) error {
	r.endAttempt(at)
	at.cancel()
	if r.winner == at {
		r.winner = nil
	}
	crashed := at.tokens < answeringTokens && mayBeCrash(err) && r.hasCrashed(ctx, at)
	retryable, free := r.classify(at, err, crashed)
	if len(r.active) > 0 {
		r.keepWinner()
		return nil
	}
	if !retryable {
		return r.fail(failure.TargetFailed, "%v", err)
	}
	if key, refused := r.refusedKey(); refused {
		r.refuseOnAllHosts(key)
		return r.fail(failure.CrashesTargets, crashesTargetsFormat, key)
	}
	if r.attempts >= maxAttempts || (!free && !r.spendRetry()) {
		return r.fail(failure.TargetFailed, "no further attempt is allowed after: %v", err)
	}
	if free {
		return r.launch(ctx)
	}
	return r.relaunch(ctx)
}

// relaunch starts an attempt after a delay. The attempt has been taken from the budget.
func (r *run) relaunch(ctx context.Context) error {
	if clock.Sleep(ctx, r.d.Clock, r.backoff()) != nil {
		r.d.returnRetry()
		return r.fail(failure.DeadlineExceeded, "the request was cancelled or timed out before its answer was complete: %v", ctx.Err())
	}
	if err := r.launch(ctx); err != nil {
		r.d.returnRetry()
		return err
	}
	r.d.count("attempts.retries")
	return nil
}

// classify records what a failed attempt says about its target. crashed is set if the target
// has crashed before it had begun to answer. A retry is free if the target has done no work
// for the request.
func (r *run) classify(at *attempt, err error, crashed bool) (retryable, free bool) {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.probe = false
	r.request.Exclude = append(r.request.Exclude, at.ticket.Target)
	var refusal *target.RefusalError
	if errors.As(err, &refusal) {
		r.mayHaveRun = r.mayHaveRun || !refusal.NotRun
		switch refusal.Code {
		case target.CodeLeaving:
			r.d.placer.MarkLeaving(r.d.Clock.Now(), at.ticket.Target)
			r.d.observer.targetUnavailable(at, true)
			return true, true
		case target.CodeVersionNotLoaded:
			return true, true
		default:
			return refusal.Status >= http.StatusInternalServerError, refusal.NotRun
		}
	}
	if target.NotRun(err) {
		r.d.placer.MarkUnreachable(at.ticket.Target)
		r.d.observer.targetUnavailable(at, false)
		return true, true
	}
	r.mayHaveRun = true
	if mayBeCrash(err) {
		r.d.placer.MarkUnreachable(at.ticket.Target)
		r.d.observer.targetUnavailable(at, false)
		r.countCrash(at, crashed)
	}
	return true, false
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

// fail ends the run with an error. The error says "not run" only if no attempt
// may have run.
func (r *run) fail(code failure.Code, format string, args ...any) error {
	r.d.count("requests.failed")
	if !r.mayHaveRun && len(r.active) == 0 {
		return failure.Busy(code, time.Second, format, args...)
	}
	return failure.MaybeRun(code, format, args...)
}
