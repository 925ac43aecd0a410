package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/failure"
)

// finish gives the caller the final word.
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

// afterFailure decides what follows a failed attempt: nil for another one, or
// what the caller is told.
func (r *run) afterFailure(ctx context.Context, at *attempt, err error) *failure.Error {
	if ctx.Err() != nil {
		return r.ended(ctx)
	}
	var refused *NotRunError
	var broken *BrokenError
	switch {
	case errors.As(err, &refused):
		return r.afterRefusal(at, refused)
	case errors.As(err, &broken) && !broken.Sent:
		r.g.unreachable(at)
		r.request.Exclude = append(r.request.Exclude, at.target.ID)
		if r.tries < r.g.Config.Retries.MaxAttempts {
			return nil
		}
		return r.notRunOr(failure.Busy(failure.NoTarget, r.retryAfter(), "no target could be reached: %v", err))
	default:
		r.request.Exclude = append(r.request.Exclude, at.target.ID)
		return r.afterBreak(err)
	}
}

// afterRefusal follows a target that has not run the request.
func (r *run) afterRefusal(at *attempt, refused *NotRunError) *failure.Error {
	r.runs--
	r.request.Exclude = append(r.request.Exclude, at.target.ID)
	if refused.Misdirected {
		r.g.misdirected(at)
	}
	if r.tries < r.g.Config.Retries.MaxAttempts && r.spend() {
		return nil
	}
	return r.notRunOr(failure.Busy(failure.Overloaded, max(refused.RetryAfter, r.retryAfter()), "targets refused: %v", refused))
}

// afterBreak follows an attempt that may have run.
func (r *run) afterBreak(err error) *failure.Error {
	var answered *failedAnswer
	if errors.As(err, &answered) || r.again() {
		return nil
	}
	return failure.MaybeRun(failure.TargetFailed, "%v", err)
}

// again takes a further run from what the route and the budget allow.
func (r *run) again() bool {
	route := r.work.Route
	return route.Repeatable() && r.runs < max(1, route.Attempts) && r.tries < r.g.Config.Retries.MaxAttempts && r.spend()
}

// failedAnswer is a target's failure after which the request may run again, as
// again has said.
type failedAnswer struct {
	status int
}

// Error tells the status.
func (e *failedAnswer) Error() string { return fmt.Sprintf("target answered with status %d", e.status) }

// notRunOr returns refusal if no attempt may have run, else that it may have.
func (r *run) notRunOr(refusal *failure.Error) *failure.Error {
	if r.runs > 0 {
		return failure.MaybeRun(failure.MayHaveRun, "%s", refusal.Message)
	}
	return refusal
}

// ended tells why the time of a request is over: its caller has left, or its
// deadline has passed.
func (r *run) ended(ctx context.Context) *failure.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &failure.Error{Status: statusCallerGone, Code: failure.CallerGone, Message: "the caller went away", NotRun: r.runs == 0}
	}
	return r.timedOut()
}

// statusCallerGone stands in the log for an answer that nobody reads.
const statusCallerGone = 499

func (r *run) timedOut() *failure.Error {
	if r.runs == 0 {
		return failure.Busy(failure.DeadlineExceeded, r.retryAfter(), "no target ran it in time")
	}
	e := failure.MaybeRun(failure.DeadlineExceeded, "no whole answer in time")
	e.Status = http.StatusGatewayTimeout
	return e
}

// spend takes a further attempt from the budget of the service.
func (r *run) spend() bool {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if r.g.budget(r.work.Service).Spend() {
		r.g.count("attempts.repeated")
		return true
	}
	r.g.count("attempts.budgetSpent")
	return false
}

// retryAfter spreads the return of refused callers over some time.
func (r *run) retryAfter() time.Duration {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	least := r.g.Config.Retries.MinRetryAfter.Duration
	return least + time.Duration(r.g.rng.Int64N(int64(least)+1))
}

func (r *run) noTarget(why string) *failure.Error {
	if r.last != nil && r.runs > 0 {
		return failure.MaybeRun(failure.TargetFailed, "no other target after: %v", r.last)
	}
	return failure.Busy(failure.NoTarget, r.retryAfter(), "no target of service %s can be used: %s", r.work.Service, why)
}

// unsent takes back the count of an attempt that reached nobody.
func (r *run) unsent(err error) {
	var broken *BrokenError
	if errors.As(err, &broken) && !broken.Sent {
		r.runs--
	}
}
