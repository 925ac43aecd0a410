package gateway

import (
	"time"

	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/roomqueue"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// leaveRemote ends a request of another host that doesn't know of its decision. The lock must be held.
func (g *Gateway) leaveRemote(now time.Time, j *queuedJob) {
	delete(g.queues.remote, ownedRequest{j.ask.Host, j.ask.RequestId})
	if j.response != nil && j.response.Ticket != 0 {
		if owned := g.shards.owned.tickets[j.response.Ticket]; owned != nil {
			g.endOwned(now, j.response.Ticket, owned)
		}
		return
	}
	if j.state == queuedWaiting {
		g.endQueued(now, j)
	}
}

// abandonQueued ends a request that another host has given up. The lock must be held.
func (g *Gateway) abandonQueued(now time.Time, request ownedRequest) {
	if j := g.queues.remote[request]; j != nil {
		g.leaveRemote(now, j)
	}
}

// placeByQueue lets a request of another host wait for room, and returns when it is decided about or
// when the other host has to ask again. places is not set if this host places nothing for others now.
func (g *Gateway) placeByQueue(now time.Time, places bool, q *wire.PlaceRequest, w *work.Work) *wire.PlaceResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyProgress(now, q.Host, q.Progress)
	if !places || len(g.shards.owned.tickets) >= maxOwnedTickets {
		return &wire.PlaceResponse{}
	}
	if waiting := g.queues.remote[ownedRequest{q.Host, q.RequestId}]; waiting != nil && q.HoldMillis == 0 && q.Shard != waiting.ask.Shard && sameRequest(waiting.ask, q) {
		return g.placeBeside(now, waiting, q, w)
	}
	j, none := g.remoteJob(now, q, w)
	if j == nil {
		response := &wire.PlaceResponse{Ready: true, Cache: q.Cache, Unusable: true, Refusal: none.why, Load: g.wireLoad(q.Shard)}
		response.RetryAfterMillis = max(0, none.until.Sub(now).Milliseconds())
		return response
	}
	g.runQueues(now)
	if hold := time.Duration(q.HoldMillis) * time.Millisecond; hold > 0 && j.state == queuedWaiting {
		j.calls++
		g.mu.Unlock()
		select {
		case <-j.decided:
		case <-g.Clock.After(hold):
		case <-g.ended.Done():
		}
		g.mu.Lock()
		j.calls--
	}
	response := g.answerQueued(j, q)
	response.Load = g.wireLoad(q.Shard)
	return response
}

// remoteJob returns the entry of a request of another host, a new one if this host doesn't know the
// request. The lock must be held.
func (g *Gateway) remoteJob(now time.Time, q *wire.PlaceRequest, w *work.Work) (*queuedJob, noChoice) {
	key := ownedRequest{q.Host, q.RequestId}
	if j := g.queues.remote[key]; j != nil {
		if j.ask.Shard == q.Shard && sameRequest(j.ask, q) {
			j.ask, j.request.Exclude, j.request.Build = q, q.Exclude, q.Build
			return j, noChoice{}
		}
		g.leaveRemote(now, j)
	}
	req := g.placementRequest(w)
	req.Build, req.Exclude = q.Build, q.Exclude
	j, none := g.enqueue(now, q.Shard, req, w, roomqueue.Job{Retry: q.Repeated, Immediate: q.HoldMillis == 0})
	if j == nil {
		return nil, none
	}
	j.ask = q
	if g.queues.remote == nil {
		g.queues.remote = map[ownedRequest]*queuedJob{}
	}
	g.queues.remote[key] = j
	return j, noChoice{}
}

// sameRequest reports whether two questions of a host with the same request ID are about the same request.
// Callers may use an ID for several ones.
func sameRequest(a, b *wire.PlaceRequest) bool {
	return a.Account == b.Account && a.PromptTokens == b.PromptTokens && len(a.Parts) == len(b.Parts)
}

// placeBeside places a request of another host at once, or not at all, on the targets of a shard while it
// waits in the queue of another one that this host owns, too. It gives up that place if it has placed the
// request, as one report of the other host can't tell the two apart. The lock must be held.
func (g *Gateway) placeBeside(now time.Time, waiting *queuedJob, q *wire.PlaceRequest, w *work.Work) *wire.PlaceResponse {
	response := &wire.PlaceResponse{Ready: true, Cache: q.Cache, Refusal: "no target of the shard has room now"}
	g.runQueues(now)
	if waiting.state != queuedWaiting {
		if waiting.response != nil && waiting.response.Ticket != 0 {
			response = g.answerQueued(waiting, q)
		}
		// Else the next call about the other shard is answered by its decision.
		response.Load = g.wireLoad(q.Shard)
		return response
	}
	req := g.placementRequest(w)
	req.Build, req.Exclude = q.Build, q.Exclude
	j, none := g.enqueue(now, q.Shard, req, w, roomqueue.Job{Retry: q.Repeated, Immediate: true})
	if j == nil {
		response.Unusable, response.Refusal = true, none.why
	} else {
		j.ask = q
		g.runQueues(now)
		if j.response != nil && j.response.Ticket != 0 {
			j.taken = true
			g.leaveRemote(now, waiting)
			response = j.response
		} else if j.state == queuedWaiting {
			g.endQueued(now, j)
		}
		g.runQueues(now)
	}
	response.Load = g.wireLoad(q.Shard)
	return response
}

// answerQueued returns the answer to a call about a request. The lock must be held.
func (g *Gateway) answerQueued(j *queuedJob, q *wire.PlaceRequest) *wire.PlaceResponse {
	now := g.Clock.Now()
	j.askedAt = now
	response := &wire.PlaceResponse{Ready: true, Cache: q.Cache}
	switch {
	case j.state == queuedWaiting && q.HoldMillis > 0:
		response.Waiting, response.Wait = true, j.shard.queue.Wait(now, &j.job).Seconds()
		g.tickQueues() // It ends the request if the host doesn't ask again.
	case j.state == queuedWaiting:
		g.leaveRemote(now, j)
		g.runQueues(now)
		response.Refusal = "no target of the shard has room now"
	case j.state == queuedDecided && !j.taken:
		j.taken = true
		delete(g.queues.remote, ownedRequest{q.Host, q.RequestId})
		return j.response
	case j.none.why != "":
		response.Unusable, response.Refusal = true, j.none.why
	default:
		// Another call was given the decision, or the request was given up. If the host still asks, it
		// is a new request.
		response.Waiting = q.HoldMillis > 0
	}
	return response
}
