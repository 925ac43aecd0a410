package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/common/failure"
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
	// runs counts the attempts that may have run on a target.
	runs int
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
	r := &run{g: g, work: w, sink: sink, after: w.LastEventID, request: g.placementRequest(w)}
	g.mu.Lock()
	crashes := g.suspects.CrashCount(g.Clock.Now(), w.Fingerprint)
	proven := g.suspects.Exhausted(g.Clock.Now(), w.Fingerprint)
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

// place chooses a target. While none can be used it waits for one for a short
// time, since targets that change their weights are soon back.
func (r *run) place(ctx context.Context) (*attempt, *failure.Error) {
	begin := r.g.Clock.Now()
	patience := min(r.work.Route.Goal, r.work.Deadline.Sub(begin)) / patienceShare
	for {
		at, why := r.g.choose(&r.request, r.work)
		if at != nil {
			r.tries++
			r.logPlacement(at)
			return at, nil
		}
		if r.g.Clock.Now().Sub(begin) >= patience {
			return nil, r.noTarget(why)
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

// attempt sends the request to one target and relays the answer.
func (r *run) attempt(ctx context.Context, at *attempt) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer r.g.end(at)
	dog := newWatchdog(r.silence(at), func() { cancel(errSilent) })
	defer dog.stop()
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

// silence returns how long an attempt may give no sign of life, 0 for as long
// as the request has. Only work that may run again is taken from a silent
// target.
func (r *run) silence(at *attempt) time.Duration {
	route := r.work.Route
	if !route.Repeatable() || r.runs+1 >= max(1, route.Attempts) {
		return 0
	}
	goals := r.g.Config.Retries.StallFactor
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
