package gateway

import (
	"context"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/roomqueue"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

const (
	// placeHold is how long the first call to the owner of a shard waits for a decision. A host that asks
	// again notices that another host owns the shard now.
	placeHold = 80 * time.Millisecond
	// maxPlaceHold is how long calls wait for requests that have waited before, each for placeHold longer
	// than the one before. With 80 ms, an owner at which 30 requests wait would hear 375 calls a second.
	maxPlaceHold = 240 * time.Millisecond
)

// queueWait is the wait of a request in the queue of a shard.
type queueWait struct {
	g    *Gateway
	name string
	req  *placement.Request
	work *work.Work
	// until is when the request waits no longer.
	until time.Time
	// asked is the host that may keep a place for the request, empty if none does, and waits the number of
	// calls there. own is the entry of the request if this host owns the shard.
	asked string
	waits int
	own   *queuedJob
	// undecided is set after a call that has waited and ended without a decision.
	undecided bool
	// second is the shard whose owner is asked as well while the request waits, empty if there is none, and
	// reread the time that reading the shared parts again costs there.
	second string
	reread time.Duration
	// expected is how long the owner of the first shard expects the request to wait, as of the last call.
	expected time.Duration
	// askedUnknown is set once that owner has been asked without knowing its load.
	askedUnknown bool
}

// chooseByQueue lets the owner of the first shard decide when a request begins and on which target. If
// it refuses the request, the owner of the second one is asked. It returns ok false if this host has to
// place the request by its own view.
func (g *Gateway) chooseByQueue(ctx context.Context, picked *pickedShards, req *placement.Request, w *work.Work) (at *attempt, none noChoice, ok bool) {
	began, until := g.Clock.Now(), w.Deadline
	for _, q := range []*queueWait{
		{g: g, name: picked.first, req: req, work: w, second: picked.second, reread: picked.reread},
		{g: g, name: picked.second, req: req, work: w},
	} {
		if q.name == "" {
			continue
		}
		q.until = until
		at, refused, decided := q.wait(ctx)
		if !decided {
			// Hosts without a view place prompts that share a part on the same target of the shard.
			at, _ = g.chooseAlone(q.name, req, w)
			g.count("shards.undecided")
		}
		switch {
		case at != nil || refused.interrupted:
			return at, refused, true
		case decided && !ok:
			none, ok = refused, true
			// The request doesn't wait longer for the second shard than it has for the first.
			now := g.Clock.Now()
			until = now.Add(now.Sub(began))
		case refused.refused && refused.until.Before(none.until):
			none = refused
		}
	}
	if ok {
		at = g.chooseLocally(req, w)
	}
	return at, none, ok
}

// wait lets the request wait in the queue of the shard until it is decided about. It returns ok false if
// no owner decides.
func (q *queueWait) wait(ctx context.Context) (at *attempt, none noChoice, ok bool) {
	g := q.g
	defer q.leave()
	start := g.Clock.Now()
	for silent := 0; silent < shardOwners; {
		if at, none, ok = q.askSecond(ctx); ok {
			return at, none, true
		}
		owner := q.owner()
		q.allowTried(start)
		if owner == "" {
			return nil, noChoice{}, false
		}
		hold := q.hold()
		if owner == g.Host {
			at, none, waiting := q.askHere(ctx, hold)
			if !waiting {
				return at, none, at != nil || none.loaded
			}
			q.undecided = true
			continue
		}
		began := g.Clock.Now()
		waited := q.asked != ""
		response, err := q.ask(ctx, owner, hold)
		took := g.Clock.Now().Sub(began)
		switch {
		case ctx.Err() != nil:
			q.asked = owner
			return nil, noChoice{why: "the request ended while it waited", interrupted: true, loaded: true}, true
		case err != nil || !response.Ready:
			q.asked = ""
			g.avoidOwner(owner, err)
			silent++
			// Another silent host would take too much of the objective, unless the request has to wait
			// in any case.
			if took > placeTimeout/2 && !waited {
				return nil, noChoice{}, false
			}
		case !response.Waiting:
			q.asked = ""
			return g.acceptPlacement(owner, response, q.req, q.work)
		default:
			q.asked = owner
			q.waits++
			g.recordLoad(response)
			q.expected = time.Duration(response.Wait * float64(time.Second))
			if q.undecided = took >= hold/2; !q.undecided {
				// The owner has not waited, such as after a report that the request was given up.
				_ = clock.Sleep(ctx, g.Clock, placeRetryPause)
			}
		}
	}
	return nil, noChoice{}, false
}

// allowTried lets a request that has waited since the given time for long return to the targets that it has
// tried: they are better than none.
func (q *queueWait) allowTried(start time.Time) {
	if waited := q.g.Clock.Now().Sub(start); waited > 0 && waited >= q.work.Route.Goal/maxWaitDivisor {
		q.req.Exclude = nil
	}
}

// owner returns the host to ask about the request, after giving up its place at an earlier one. The request
// goes on waiting at the owner of the shard if that has given no answer to another request of this host: any
// other host doesn't know what runs on the targets.
func (q *queueWait) owner() string {
	g := q.g
	g.mu.Lock()
	owner := g.ownerOf(q.name)
	if q.asked != "" && slices.Contains(g.ShardRelay.ShardOwners(q.name, 1), q.asked) {
		owner = q.asked
	}
	g.mu.Unlock()
	if owner != q.asked {
		q.leave()
	}
	return owner
}

// hold returns how long the next call waits.
func (q *queueWait) hold() time.Duration {
	hold := min(placeHold*time.Duration(1+q.waits), maxPlaceHold, q.until.Sub(q.g.Clock.Now()))
	return max(0, hold).Truncate(time.Millisecond)
}

// recordLoad keeps the load in an answer of an owner.
func (g *Gateway) recordLoad(p *wire.PlaceResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordShardLoad(g.Clock.Now(), p.Load)
}

// ask asks another host about the request. An attempt with a ticket doesn't wait.
func (q *queueWait) ask(ctx context.Context, owner string, hold time.Duration) (*wire.PlaceResponse, error) {
	response, err := q.g.askOwner(ctx, owner, q.name, placeTimeout+hold, hold, q.req, q.work)
	if err == nil && response.Ticket != 0 {
		response.Waiting = false
	}
	return response, err
}

// askHere lets the request wait at this host for up to hold. waiting is set if it is not decided about.
func (q *queueWait) askHere(ctx context.Context, hold time.Duration) (at *attempt, none noChoice, waiting bool) {
	g := q.g
	q.asked = g.Host
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if q.own == nil {
		if q.own, none = g.enqueue(now, q.name, *q.req, q.work, roomqueue.Job{Retry: len(q.req.Exclude) > 0, Immediate: hold == 0}); q.own == nil {
			return nil, none, false
		}
		g.runQueues(now)
	}
	j := q.own
	j.request.Exclude = q.req.Exclude
	if hold > 0 && j.state == queuedWaiting {
		g.mu.Unlock()
		select {
		case <-j.decided:
		case <-g.Clock.After(hold):
		case <-ctx.Done():
		}
		g.mu.Lock()
	}
	if load, known := g.queueLoad(q.name); known {
		g.shards.loads.Record(g.Clock.Now(), q.name, load)
	}
	switch {
	case j.state != queuedWaiting:
		j.taken = true
		return j.at, j.none, false
	case ctx.Err() != nil:
		return nil, noChoice{why: "the request ended while it waited", interrupted: true, loaded: true}, false
	case hold == 0:
		return nil, noChoice{why: "no target of the shard has room now", loaded: true}, false
	default:
		q.expected = j.shard.queue.Wait(g.Clock.Now(), &j.job)
		return nil, noChoice{}, true
	}
}

// leave gives up the place of the request in the queue of the host that was asked last.
func (q *queueWait) leave() {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if j := q.own; j != nil && !j.taken {
		now := g.Clock.Now()
		if j.at != nil {
			g.placer.Finish(now, &j.at.ticket)
		}
		if j.state == queuedWaiting || j.at != nil {
			g.endQueued(now, j)
		}
		g.runQueues(now)
	}
	if q.asked != "" && q.asked != g.Host {
		g.addProgress(q.asked, &wire.TicketProgress{AbandonedRequest: q.work.ID, Ended: true})
	}
	q.own, q.asked, q.waits = nil, "", 0
}
