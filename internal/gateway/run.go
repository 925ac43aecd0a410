package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/retry"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// run is the state of one request over its attempts. It is used by the
// goroutine of its caller only.
type run struct {
	g    *Gateway
	work *work.Work
	sink work.Sink
	// request is the input of placement.
	request placement.Request
	// keys are what is suspect when a target crashes. probe is set while the request may run
	// although one of them is blamed, until its first attempt fails.
	keys  retry.Keys
	probe bool
	// possibleRuns counts the attempts that may have run on a target.
	possibleRuns int
	// attempts counts all attempts, also those that reached no target, and unreached those.
	attempts, unreached int
	// relays counts the attempts at other hosts, relayed are their names.
	relays  int
	relayed []string
	// unusedRetries counts the retries that were taken from the budget and have reached no target.
	unusedRetries int
	// leftSilent counts the attempts that were given up because their targets were silent.
	leftSilent int
	// begun is set once the beginning of a stream has been sent to the caller.
	begun bool
	// lastID is the ID of the last event that the caller has received.
	lastID int64
	// unnumbered is set while the last event that the caller has received has no ID. The stream
	// can't be resumed after it.
	unnumbered bool
	events     int
	// firstEvent is the time from the receipt of the request to the first event,
	// longestGap the longest pause between two events.
	firstEvent, longestGap time.Duration
	lastEventAt            time.Time
	lastErr                error
	// alternative is how the request can go on if the target of the present attempt is
	// silent.
	alternative *alternative
}

// Serve handles one request until it is answered, refused or aborted.
func (g *Gateway) Serve(ctx context.Context, w *work.Work, sink work.Sink) {
	g.active.Add(1)
	defer g.active.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, w.Deadline.Sub(g.Clock.Now()))
	defer cancel()
	defer context.AfterFunc(g.ended, cancel)()
	r := &run{g: g, work: w, sink: sink, lastID: w.LastEventID, request: g.placementRequest(w), keys: suspectKeys(w)}
	if g.stopped.Load() {
		r.refuse(failure.Busy(failure.Stopping, r.retryAfter(), "this host is stopping"))
		return
	}
	if !w.Relayed { // The host that relays the request has counted it.
		g.mu.Lock()
		g.budget(w.Service).Earn()
		g.mu.Unlock()
	}
	if g.Ledger.Full() {
		g.count("requests.refusedLedger")
		r.refuse(failure.Busy(failure.LedgerFull, r.retryAfter(), "this host can't record further placements in the ledger now"))
		return
	}
	if refusal := r.findBuild(ctx); refusal != nil {
		r.finish(refusal)
		return
	}
	// Resumed streams go on at the service at which they began, whatever its weight is now.
	if w.Service == "" {
		r.finish(failure.Busy(failure.NoTarget, r.retryAfter(), "no service of route %s has a weight above 0", w.Route.Name))
		return
	}
	r.runAttempts(ctx)
}

// runAttempts makes attempts until one is answered or no further one is
// allowed.
func (r *run) runAttempts(ctx context.Context) {
	defer func() { r.g.returnRetries(r.work.Service, r.unusedRetries) }()
	var begun *sending
	for {
		at, refusal := r.nextAttempt(ctx, begun)
		if refusal != nil {
			r.finish(refusal)
			return
		}
		err := r.attempt(ctx, at, begun)
		begun = r.endAlternative()
		if err == nil {
			if begun != nil {
				r.alternative.abandon(begun)
			}
			return
		}
		r.lastErr, r.probe = err, false
		if begun != nil {
			r.leave(ctx, at, err)
			continue
		}
		if final := r.afterFailure(ctx, at, err); final != nil {
			r.finish(final)
			return
		}
	}
}

// nextAttempt returns the attempt that has begun while the target of the one before was silent, or
// else chooses one.
func (r *run) nextAttempt(ctx context.Context, begun *sending) (*attempt, *failure.Error) {
	if begun == nil {
		return r.next(ctx)
	}
	r.attempts++
	r.unusedRetries++
	return begun.at, nil
}

// endAlternative ends the alternative of the attempt that has ended, and adds the attempts that it
// has made to those of the request. It returns the one with which the request can go on, nil if
// there is none.
func (r *run) endAlternative() *sending {
	s := r.alternative.end()
	tried := &r.alternative.tried
	r.attempts += tried.attempts
	r.possibleRuns += tried.possibleRuns
	r.unreached += tried.unreached
	r.relays, r.relayed = tried.relays, tried.relayed
	r.request.Exclude = append(r.request.Exclude, tried.exclude...)
	return s
}

// next chooses another host if the targets can't be reached from this one, else a target.
func (r *run) next(ctx context.Context) (*attempt, *failure.Error) {
	if at := r.chooseHost(); at != nil {
		return at, nil
	}
	at, refusal := r.place(ctx)
	if refusal != nil && refusal.Code == failure.NoTarget && r.g.unreachable(r.work.Service) {
		r.unreached = max(r.unreached, relayAfter)
		if at := r.chooseHost(); at != nil {
			return at, nil
		}
	}
	return at, refusal
}

// place chooses a target. If none is usable, it retries for a short time, since
// targets that swap their weights are soon available again.
func (r *run) place(ctx context.Context) (*attempt, *failure.Error) {
	begin := r.g.Clock.Now()
	maxWait := min(r.work.Route.Goal, r.work.Deadline.Sub(begin)) / maxWaitDivisor
	for {
		if refusal := r.refuseSuspect(); refusal != nil {
			return nil, refusal
		}
		at, none, remote := r.choose(ctx)
		if at != nil {
			r.attempts++
			r.g.logPlacement(r.work, at, r.attempts, r.lastID)
			return at, nil
		}
		if none.interrupted {
			return nil, r.contextFailure(ctx)
		}
		if none.refused {
			return nil, r.noRoom(none.why, none.until.Sub(r.g.Clock.Now()))
		}
		// There is no point in waiting for targets that stay quiet for longer.
		if now := r.g.Clock.Now(); now.Sub(begin) >= maxWait || none.until.Sub(begin) > maxWait {
			return nil, r.noTarget(none.why, none.until.Sub(now))
		}
		pause := placeRetryPause
		if remote {
			pause = askRetryPause
		}
		if clock.Sleep(ctx, r.g.Clock, pause) != nil {
			return nil, r.contextFailure(ctx)
		}
		if r.attempts > 0 {
			// Targets that were tried before are better than none.
			r.request.Exclude = nil
		}
	}
}

// refuseSuspect returns a failure if the request, or a part of its prompt, has crashed too
// many targets.
func (r *run) refuseSuspect() *failure.Error {
	if r.probe {
		return nil
	}
	r.g.mu.Lock()
	now := r.g.Clock.Now()
	key, verdict := r.g.suspects.Check(now, r.keys)
	crashes := r.g.suspects.CrashCount(now, key)
	r.g.mu.Unlock()
	r.probe = verdict == retry.Probe
	if verdict != retry.Refused {
		return nil
	}
	r.g.count("requests.refusedSuspect")
	what := "this request"
	if key != r.keys.Request {
		what = "requests with a part of this prompt"
	}
	return r.refusalOrMaybeRun(failure.Busy(failure.CrashesTargets, r.g.Config.Retries.SuspectTTL.Duration,
		"%d targets crashed while they ran %s; fingerprint %s", crashes, what, key))
}

const (
	// maxWaitDivisor divides the goal of a request, or the time left if it is
	// shorter, to give the maximum wait for a usable target. A caller that is
	// refused within this time can still retry and meet the goal.
	maxWaitDivisor = 4
	// placeRetryPause is the pause between two attempts to find a target.
	placeRetryPause = 20 * time.Millisecond
	// askRetryPause is the pause between two attempts to have another host find a target.
	askRetryPause = 60 * time.Millisecond
)

// choose lets the owner of a shard choose a target, or chooses one by the view of this host if no
// owner decides. remote reports whether an owner has decided.
func (r *run) choose(ctx context.Context) (at *attempt, none noChoice, remote bool) {
	at, none, remote = r.g.chooseByShard(ctx, &r.request, r.work)
	if remote {
		return at, none, true
	}
	at, none = r.g.choose(&r.request, r.work)
	return at, none, false
}

// attempt sends the request to one target, unless it has been sent already, and relays the answer.
func (r *run) attempt(parent context.Context, at *attempt, begun *sending) error {
	ctx, cancel := context.WithCancelCause(parent)
	if begun != nil {
		ctx, cancel = begun.ctx, begun.cancel
	}
	defer cancel(nil)
	defer r.g.finishAttempt(at)
	alternative := r.newAlternative(parent, at)
	r.alternative = alternative
	wd := newWatchdog(r.g.Clock, r.silenceLimit(at), func() time.Duration {
		again, taken := alternative.ask()
		if taken {
			cancel(errSilent)
		}
		return again
	})
	defer wd.stop()
	r.possibleRuns++
	reply, err := r.send(ctx, at, begun)
	if !unsent(err) {
		r.unusedRetries = max(0, r.unusedRetries-1)
	}
	if err != nil {
		if !at.byHost {
			r.g.applyNotice(at.target, noticeOf(err))
		}
		r.uncountUnsent(err)
		return r.recordEnd(ctx, at, err)
	}
	defer reply.Close()
	if at.byHost {
		at.target.Build = reply.Notice().Build
	} else {
		r.g.applyReply(at.target, reply.Notice())
	}
	head := reply.Head()
	if r.work.Route.Kind == Stream && head.Status == http.StatusOK {
		return r.recordEnd(ctx, at, r.relayStream(at, reply, wd))
	}
	return r.recordEnd(ctx, at, r.relayAnswer(at, reply, wd))
}

// send sends the request, or waits for the answer if it has been sent already.
func (r *run) send(ctx context.Context, at *attempt, begun *sending) (Reply, error) {
	if begun != nil {
		<-begun.done
		return begun.reply, begun.err
	}
	return r.g.send(ctx, at, r.g.newCall(r.work, at, r.lastID), r.request.Build)
}

// silenceLimit returns how long the target of an attempt may be silent, 0 for
// no limit but the deadline. Only a request that may run again is moved away
// from a silent target.
func (r *run) silenceLimit(at *attempt) time.Duration {
	route := r.work.Route
	if !route.Repeatable() || r.possibleRuns+1 >= r.maxRuns() {
		return 0
	}
	factor := r.g.Config.Retries.StallFactor
	return max(factor*route.Goal, factor*route.GapGoal, factor*at.ticket.ExpectedFirst)
}

// recordEnd records the result of an attempt for its target, and returns the
// error of the attempt. An error is not recorded if the attempt ended because the
// caller disconnected or the deadline passed.
func (r *run) recordEnd(ctx context.Context, at *attempt, err error) error {
	at.outcome = outcomeOf(ctx, at, err)
	if err == nil {
		r.recordAnswered(at)
		return nil
	}
	if errors.Is(err, errWithdrawn) {
		r.logFailure(at, err, 0)
		return err
	}
	if errors.Is(context.Cause(ctx), errSilent) || errors.Is(err, errSilent) {
		err = &BrokenError{Sent: true, Err: errSilent}
		r.leftSilent++
		r.g.count("attempts.leftSilent")
	} else if ctx.Err() != nil {
		return err
	}
	if at.byHost {
		r.logFailure(at, err, 0)
	} else {
		r.logFailure(at, err, r.g.recordFailure(ctx, at, err, r.keys))
	}
	return err
}

// maxRuns returns the number of targets on which the request may run. A host that relays a
// request counts its runs.
func (r *run) maxRuns() int {
	if r.work.Relayed {
		return 1
	}
	return max(1, r.work.Route.Attempts)
}
