package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/failure"
)

// finish ends the request with a failure. It aborts the answer if the caller has
// disconnected or a stream has begun, and refuses the request otherwise.
func (r *run) finish(final *failure.Error) {
	if final.Code == failure.CallerGone {
		r.g.count("requests.callerGone")
		r.logEnd("callerGone", final)
		r.sink.Abort()
		return
	}
	if r.begun {
		r.logEnd("broken", final)
		r.g.count("requests.broken")
		r.sink.Abort()
		return
	}
	r.refuse(final)
}

func (r *run) refuse(final *failure.Error) {
	outcome := "failed"
	if final.NotRun {
		outcome = "refused"
	}
	r.g.count("requests." + outcome)
	r.logEnd(outcome, final)
	r.sink.Refuse(final)
}

// afterFailure decides what follows a failed attempt. It returns nil for
// another attempt, or the failure that the caller receives.
func (r *run) afterFailure(ctx context.Context, at *attempt, err error) *failure.Error {
	if ctx.Err() != nil {
		return r.contextFailure(ctx)
	}
	if at.byHost {
		return r.afterRelay(at, err)
	}
	var refused *NotRunError
	var broken *BrokenError
	switch {
	case errors.Is(err, errWithdrawn):
		if r.attempts < r.g.Config.Retries.MaxAttempts {
			return nil
		}
		return r.refusalOrMaybeRun(failure.Busy(failure.NoTarget, r.retryAfter(), "no attempt succeeded; last error: %v", err))
	case errors.As(err, &refused):
		return r.afterRefusal(at, refused)
	case errors.As(err, &broken) && !broken.Sent:
		r.unreached++
		r.g.avoidUnreachable(at)
		r.request.Exclude = append(r.request.Exclude, at.target.ID)
		if r.attempts < r.g.Config.Retries.MaxAttempts {
			return nil
		}
		return r.refusalOrMaybeRun(failure.Busy(failure.NoTarget, r.retryAfter(), "no attempt succeeded; last error: %v", err))
	default:
		r.request.Exclude = append(r.request.Exclude, at.target.ID)
		return r.afterBrokenAnswer(err)
	}
}

// afterRefusal handles an attempt that the target refused without running it.
func (r *run) afterRefusal(at *attempt, refused *NotRunError) *failure.Error {
	r.possibleRuns--
	r.request.Exclude = append(r.request.Exclude, at.target.ID)
	r.g.recordRefusal(at, refused)
	if r.attempts < r.g.Config.Retries.MaxAttempts && r.spendBudget() {
		return nil
	}
	return r.refusalOrMaybeRun(failure.Busy(failure.Overloaded, max(refused.RetryAfter, r.retryAfter()), "no attempt succeeded; last error: %v", refused))
}

// leave records the failure of an attempt after which the request goes on with one that has begun.
func (r *run) leave(ctx context.Context, at *attempt, err error) {
	r.request.Exclude = append(r.request.Exclude, at.target.ID)
	if notTaken(err) {
		r.possibleRuns--
	}
	if ctx.Err() != nil {
		return // The end of the request may be why the attempt failed.
	}
	var refused *NotRunError
	switch {
	case at.byHost && (unsent(err) || notTaken(err)):
		r.g.avoidHost(at.target.ID)
	case at.byHost, errors.Is(err, errWithdrawn):
	case errors.As(err, &refused):
		r.g.recordRefusal(at, refused)
	case unsent(err):
		r.unreached++
		r.g.avoidUnreachable(at)
	}
}

// recordRefusal records that a target has refused a request without running it.
func (g *Gateway) recordRefusal(at *attempt, refused *NotRunError) {
	if refused.Misdirected {
		g.avoidMisdirected(at)
	} else {
		g.leaveBrittle(at.target.ID)
		g.recordFull(at)
	}
}

// afterBrokenAnswer handles an attempt that may have run.
func (r *run) afterBrokenAnswer(err error) *failure.Error {
	var answered *retryableAnswerError
	if errors.As(err, &answered) || r.takeRetry() {
		return nil
	}
	return failure.MaybeRun(failure.TargetFailed, "%v", err)
}

// takeRetry takes one retry from the budget if the route allows another run, and
// reports whether it did.
func (r *run) takeRetry() bool {
	route := r.work.Route
	return route.Repeatable() && !r.unnumbered && r.possibleRuns < r.maxRuns() && r.attempts < r.g.Config.Retries.MaxAttempts && r.spendBudget()
}

// retryableAnswerError is an error status of a target after which takeRetry has
// allowed another run.
type retryableAnswerError struct {
	status int
}

// Error describes the status.
func (e *retryableAnswerError) Error() string {
	return fmt.Sprintf("target answered with status %d", e.status)
}

// refusalOrMaybeRun returns refusal if no attempt may have run, else a failure
// that says that the request may have run.
func (r *run) refusalOrMaybeRun(refusal *failure.Error) *failure.Error {
	if r.possibleRuns > 0 {
		return failure.MaybeRun(failure.MayHaveRun, "%s", refusal.Message)
	}
	return refusal
}

// contextFailure returns the failure of a request whose context has ended: the host
// stops, its caller has disconnected, or its deadline has passed.
func (r *run) contextFailure(ctx context.Context) *failure.Error {
	if r.g.ended.Err() != nil {
		return r.refusalOrMaybeRun(failure.Busy(failure.Stopping, r.retryAfter(), "the host has stopped before the answer was complete"))
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return &failure.Error{Status: statusCallerGone, Code: failure.CallerGone, Message: "the caller disconnected", NotRun: r.possibleRuns == 0}
	}
	return r.timedOut()
}

// statusCallerGone is the logged status of a request whose caller has disconnected
// before the answer is complete. No status is logged if a write to the caller
// fails.
const statusCallerGone = 499

func (r *run) timedOut() *failure.Error {
	if r.possibleRuns == 0 {
		return failure.Busy(failure.DeadlineExceeded, r.retryAfter(), "no target ran the request before its deadline")
	}
	e := failure.MaybeRun(failure.DeadlineExceeded, "no complete answer before the deadline")
	e.Status = http.StatusGatewayTimeout
	return e
}

// spendBudget takes one retry from the budget of the service, and reports whether there was one.
func (r *run) spendBudget() bool {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if r.g.budget(r.work.Service).Spend() {
		r.g.count("attempts.repeated")
		r.unusedRetries++
		return true
	}
	r.g.count("attempts.budgetSpent")
	return false
}

// returnRetries returns retries that have reached no target to the budget of a service.
func (g *Gateway) returnRetries(service string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range n {
		g.budget(service).Return()
		g.count("attempts.returned")
	}
}

// retryAfter returns a random delay between MinRetryAfter and twice as long, so
// that refused callers don't retry at the same time.
func (r *run) retryAfter() time.Duration { return r.g.RetryAfter() }

// RetryAfter returns the delay that is stated to a caller who is refused.
func (g *Gateway) RetryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	minDelay := g.Config.Retries.MinRetryAfter.Duration
	return minDelay + time.Duration(g.rng.Int64N(int64(minDelay)+1))
}

// noTarget returns the failure of a request for which no target can be used. wait is
// the time until one can be used, if it is known and above zero.
func (r *run) noTarget(why string, wait time.Duration) *failure.Error {
	if r.lastErr != nil && r.possibleRuns > 0 {
		return failure.MaybeRun(failure.TargetFailed, "no other target can be used after: %v", r.lastErr)
	}
	return failure.Busy(failure.NoTarget, max(0, wait)+r.retryAfter(), "no target of service %s can be used: %s", r.work.Service, why)
}

// noRoom returns the failure of a request that was refused by the queue of a shard. after is the time
// after which the caller may return.
func (r *run) noRoom(why string, after time.Duration) *failure.Error {
	if r.lastErr != nil && r.possibleRuns > 0 {
		return failure.MaybeRun(failure.TargetFailed, "no other target has room after: %v", r.lastErr)
	}
	if after <= 0 {
		after = r.retryAfter()
	}
	return failure.Busy(failure.Overloaded, after, "service %s has no room: %s", r.work.Service, why)
}

// uncountUnsent subtracts an attempt that did not reach a target from
// possibleRuns.
func (r *run) uncountUnsent(err error) {
	if unsent(err) {
		r.possibleRuns--
	}
}
