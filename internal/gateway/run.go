package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/eventstream"
	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// run is one request on its way through its attempts. It stays on the goroutine
// of its caller.
type run struct {
	g    *Gateway
	work *work.Work
	sink work.Sink
	// request is what placement knows of the work.
	request placement.Request
	// sends counts the attempts whose request may have reached a target, runs
	// those that may have run there.
	sends int
	runs  int
	// tries counts all attempts, also those that reached nobody.
	tries int
	// begun is set once the caller has the beginning of a stream.
	begun  bool
	after  int64
	events int
	// first is the time to the first event, gap the longest pause between two.
	first, gap time.Duration
	lastEvent  time.Time
	last       error
}

// Serve carries one request to its end.
func (g *Gateway) Serve(ctx context.Context, w *work.Work, sink work.Sink) {
	g.active.Add(1)
	defer g.active.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, w.Deadline.Sub(g.Clock.Now()))
	defer cancel()
	r := &run{g: g, work: w, sink: sink, after: w.After, request: g.placementRequest(w)}
	g.mu.Lock()
	crashes := g.suspects.Count(g.Clock.Now(), w.Fingerprint)
	proven := g.suspects.Proven(g.Clock.Now(), w.Fingerprint)
	g.budget(w.Service).Earn()
	g.mu.Unlock()
	if proven {
		g.count("requests.refusedSuspect")
		r.refuse(failure.Busy(failure.CrashesTargets, g.Config.Retries.SuspectFor.Duration,
			"targets died %d times while this request ran", crashes))
		return
	}
	r.drive(ctx)
}

// drive makes attempts until one answers or no further one is allowed.
func (r *run) drive(ctx context.Context) {
	for {
		at, refusal := r.place(ctx)
		if refusal != nil {
			r.finish(refusal)
			return
		}
		err := r.attempt(ctx, at)
		if err == nil {
			return
		}
		r.last = err
		if final := r.afterFailure(ctx, at, err); final != nil {
			r.finish(final)
			return
		}
	}
}

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
		if r.tries < r.g.Config.Retries.MostTries {
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
	if r.tries < r.g.Config.Retries.MostTries && r.spend() {
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
	return route.Repeatable() && r.runs < max(1, route.Attempts) && r.tries < r.g.Config.Retries.MostTries && r.spend()
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
	least := r.g.Config.Retries.ReturnAfter.Duration
	return least + time.Duration(r.g.rng.Int64N(int64(least)+1))
}

// place chooses a target. While none can be used it waits for one for a short
// time, since targets that change their weights are soon back.
func (r *run) place(ctx context.Context) (*attempt, *failure.Error) {
	begin := r.g.Clock.Now()
	patience := min(r.work.Route.Goal, r.work.Deadline.Sub(begin)) / patienceShare
	for {
		at := r.g.choose(&r.request, r.work)
		if at != nil {
			r.tries++
			r.logPlacement(at)
			return at, nil
		}
		if r.g.Clock.Now().Sub(begin) >= patience {
			return nil, r.noTarget()
		}
		if clock.Sleep(ctx, r.g.Clock, placePause) != nil {
			return nil, r.ended(ctx)
		}
		if r.tries > 0 {
			// Targets that were tried before are better than none.
			r.request.Exclude = nil
		}
	}
}

const (
	// patienceShare is the part of its goal that a request waits for a target to
	// come back: one in this many. A caller that waits longer in vain could have
	// come back in time.
	patienceShare = 4
	// placePause is the time between two tries to find a target.
	placePause = 20 * time.Millisecond
)

func (r *run) noTarget() *failure.Error {
	if r.last != nil && r.runs > 0 {
		return failure.MaybeRun(failure.TargetFailed, "no other target after: %v", r.last)
	}
	return failure.Busy(failure.NoTarget, r.retryAfter(), "no target of service %s can be used", r.work.Service)
}

// attempt sends the request to one target and relays the answer.
func (r *run) attempt(ctx context.Context, at *attempt) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer r.g.end(at)
	dog := newWatchdog(r.silence(at), func() { cancel(errSilent) })
	defer dog.stop()
	r.sends++
	r.runs++
	reply, err := r.g.Targets.Send(ctx, r.call(at))
	if err != nil {
		r.unsent(err)
		return r.note(ctx, at, err)
	}
	defer reply.Close()
	head := reply.Head()
	if r.work.Route.Kind == Stream && head.Status == http.StatusOK {
		return r.note(ctx, at, r.relay(at, reply, dog))
	}
	return r.note(ctx, at, r.whole(at, reply))
}

// unsent takes back the count of an attempt that reached nobody.
func (r *run) unsent(err error) {
	var broken *BrokenError
	if errors.As(err, &broken) && !broken.Sent {
		r.sends--
		r.runs--
	}
}

// silence returns how long an attempt may give no sign of life, 0 for as long
// as the request has. Only work that may run again is taken from a silent
// target.
func (r *run) silence(at *attempt) time.Duration {
	route := r.work.Route
	if !route.Repeatable() || r.runs+1 >= max(1, route.Attempts) {
		return 0
	}
	goals := r.g.Config.Retries.SilentGoals
	return max(goals*route.Goal, goals*route.GapGoal, goals*at.ticket.ExpectedFirst)
}

// note records how an attempt ended on the target and returns its error.
func (r *run) note(ctx context.Context, at *attempt, err error) error {
	if err == nil {
		r.g.succeeded(at)
		return nil
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		err = &BrokenError{Sent: true, Err: errSilent}
	} else if ctx.Err() != nil {
		return err
	}
	r.g.failed(r, at, err)
	return err
}

// whole passes a complete answer on.
func (r *run) whole(at *attempt, reply Reply) error {
	body, err := reply.Whole()
	if err != nil {
		return err
	}
	head := reply.Head()
	if head.Status >= http.StatusInternalServerError && r.begun {
		return &BrokenError{Sent: true, Err: errors.New("a target failed to go on with the stream")}
	}
	if head.Status >= http.StatusInternalServerError && r.again() {
		return &failedAnswer{status: head.Status}
	}
	r.g.firstToken(at)
	if head.Status >= http.StatusInternalServerError {
		r.g.outcome(at, true)
	}
	r.done(at, head.Status)
	r.callerGone(r.sink.Answer(head, body))
	return nil
}

// relay passes the events of a stream on, each as soon as it is whole.
func (r *run) relay(at *attempt, reply Reply, dog *watchdog) error {
	for {
		event, err := reply.Next()
		if errors.Is(err, io.EOF) {
			if r.begun || r.begin(reply) {
				r.done(at, http.StatusOK)
			}
			return nil
		}
		if err != nil {
			return &BrokenError{Sent: true, Lost: true, Err: err}
		}
		dog.fed()
		if event.ID != eventstream.NoID && event.ID <= r.after {
			continue
		}
		if !r.begun {
			r.g.firstToken(at)
			if !r.begin(reply) {
				return nil
			}
		}
		r.g.tokens(at)
		r.paced()
		if event.ID != eventstream.NoID {
			r.after = event.ID
		}
		if r.callerGone(r.sink.Event(event.Raw)) {
			return nil
		}
	}
}

// paced counts an event and the pause before it.
func (r *run) paced() {
	now := r.g.Clock.Now()
	if r.events == 0 {
		r.first = now.Sub(r.work.Received)
		r.g.measure("requests.firstEventMicros", r.first)
	} else {
		r.gap = max(r.gap, now.Sub(r.lastEvent))
	}
	r.events++
	r.lastEvent = now
}

// begin passes the beginning of a stream on, and returns false when the caller
// is gone.
func (r *run) begin(reply Reply) bool {
	r.begun = true
	return !r.callerGone(r.sink.Begin(reply.Head()))
}

// callerGone reports whether writing to the caller has failed, which ends the
// request without a fault of anyone here.
func (r *run) callerGone(err error) bool {
	if err != nil {
		r.logEnd("callerGone", nil)
	}
	return err != nil
}

// done counts a finished request once.
func (r *run) done(at *attempt, status int) {
	r.g.count("requests.done")
	r.g.measure("requests.wholeMicros", r.g.Clock.Now().Sub(r.work.Received))
	r.logDone(at, status)
	r.g.Ledger.Add(ledger.Row{
		RequestID:     r.work.ID,
		ClientAccount: r.work.Account,
		Model:         r.work.Model,
		Version:       at.version,
		Target:        at.target.ID,
		PromptTokens:  r.work.PromptTokens,
		AnswerTokens:  r.events,
		ReusedTokens:  at.decision.Chosen.ReusedTokens,
		At:            r.g.Clock.Now(),
	})
}
