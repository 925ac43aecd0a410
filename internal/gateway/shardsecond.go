package gateway

import (
	"context"

	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

// askSecond asks the owner of the second shard to place the waiting request at once, after each call to the
// first that ended without a decision, if it is worth moving there. The request keeps its place at the owner
// of the first shard meanwhile, and gives it up if it is placed. It returns ok false if the request goes on
// waiting.
func (q *queueWait) askSecond(ctx context.Context) (at *attempt, none noChoice, ok bool) {
	if !q.undecided {
		return nil, noChoice{}, false
	}
	q.undecided = false
	owner := q.secondOwner()
	if owner == "" || ctx.Err() != nil {
		return nil, noChoice{}, false
	}
	q.g.count("shards.secondAsked")
	if owner == q.g.Host {
		s := &queueWait{g: q.g, name: q.second, req: q.req, work: q.work, until: q.until}
		at, _, _ = s.askHere(ctx, 0)
		s.leave()
	} else {
		at, none = q.askSecondAt(ctx, owner)
	}
	switch {
	case at != nil:
		q.g.count("shards.secondPlaced")
	case !none.interrupted:
		return nil, noChoice{}, false
	}
	return at, none, true
}

// secondOwner returns the owner of the second shard, empty if it isn't worth asking. Only the owner itself
// is asked: any other host doesn't know what runs on the targets, and would place the request at once.
func (q *queueWait) secondOwner() string {
	g := q.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if q.second == "" {
		return ""
	}
	owners := g.ShardRelay.ShardOwners(q.second, 1)
	if len(owners) == 0 || now.Before(g.shards.avoid[owners[0]]) {
		return ""
	}
	if owners[0] == g.Host {
		g.shards.loads.Record(now, q.second, g.loadOf(q.second))
	}
	ask, known := g.shards.loads.AskSecond(now, q.name, q.second, q.work.Priority, q.expected, q.reread)
	if !ask || (!known && q.askedUnknown) {
		return ""
	}
	q.askedUnknown = q.askedUnknown || !known
	return owners[0]
}

// askSecondAt asks another host, which owns the second shard, to place the request. Its refusal doesn't
// end the wait at the first one.
func (q *queueWait) askSecondAt(ctx context.Context, owner string) (at *attempt, none noChoice) {
	g := q.g
	response, err := g.askOwner(ctx, owner, q.second, placeTimeout, 0, q.req, q.work)
	switch {
	case ctx.Err() != nil:
		if err == nil && response.Ticket != 0 {
			g.mu.Lock()
			g.addProgress(owner, &wire.TicketProgress{Ticket: response.Ticket, Ended: true})
			g.mu.Unlock()
		}
		return nil, noChoice{why: "the request ended while it waited", interrupted: true, loaded: true}
	case err != nil || !response.Ready:
		g.avoidOwner(owner, err)
		return nil, noChoice{}
	}
	if response.Ticket != 0 && owner == q.asked {
		// The host owns both shards and has ended the place of the request itself. A report that the request
		// was given up would end its ticket.
		q.asked = ""
	}
	at, _, _ = g.acceptPlacement(owner, response, q.req, q.work)
	return at, noChoice{}
}
