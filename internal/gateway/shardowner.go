package gateway

import (
	"maps"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/eventstream"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/shard"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// ownedTickets are the attempts of other hosts that this host has placed on targets of its shards.
type ownedTickets struct {
	tickets map[int64]*ownedTicket
	// latest contains the latest ticket of each request of a host.
	latest map[ownedRequest]int64
	last   int64
	// unreached contains the host that last reported that it didn't reach a target, for each target.
	unreached map[string]unreachedTarget
}

type unreachedTarget struct {
	host string
	at   time.Time
}

type ownedRequest struct{ host, id string }

type ownedTicket struct {
	ticket  placement.Ticket
	request ownedRequest
	// version is the name of the weights for which the attempt was placed.
	version  string
	deadline time.Time
	// queued is the entry of the attempt in the queue of its shard, nil without queues.
	queued *queuedJob
}

// maxOwnedTickets limits the attempts of other hosts that are tracked at the same time.
const maxOwnedTickets = 65536

// PlaceFor places an attempt of another host on the targets of a shard. The other host checks the
// decision by its own view, so that this one needs no newer view than it.
func (g *Gateway) PlaceFor(q *wire.PlaceRequest) *wire.PlaceResponse {
	now := g.Clock.Now()
	places := g.Ready() && !g.stopped.Load() && !g.PathLost()
	w := workOf(now, q)
	if g.Config.Shards.Queue {
		return g.placeByQueue(now, places, q, w)
	}
	req := g.placementRequest(w)
	req.Model, req.Build, req.Exclude = q.Shard, q.Build, q.Exclude
	g.mu.Lock()
	defer g.mu.Unlock()
	// The other host reports it only once, and targets may have room again.
	g.applyProgress(now, q.Host, q.Progress)
	if !places || len(g.shards.owned.tickets) >= maxOwnedTickets {
		return &wire.PlaceResponse{}
	}
	response := &wire.PlaceResponse{Ready: true, Cache: q.Cache}
	members := g.shardMembers(q.Service, q.Shard)
	if len(members) == 0 {
		// The other host divides targets differently, as after a change of their number.
		response.Unusable, response.Refusal = true, "the shard is unknown"
		return response
	}
	for _, target := range members {
		if g.placedLocally(target) {
			req.Exclude = append(req.Exclude, target)
		}
	}
	at := g.chooseTarget(now, &req, w)
	if at != nil && at.decision.ColdDeferred {
		g.count("targets.coldDeferred")
	}
	switch {
	case at == nil:
		response.Unusable, response.Refusal = true, "no target of the shard has loaded weights that requests may still use"
	case at.decision.Target == "":
		response.Unusable, response.Refusal = !loaded(&at.decision), refusal(&at.decision, &req)
		response.RetryAfterMillis = max(0, at.decision.QuietUntil.Sub(now).Milliseconds())
	default:
		g.startOwned(now, q, w, &req, at, response)
	}
	response.Load = g.wireLoad(q.Shard)
	return response
}

// shardMembers returns the targets of a shard, none if this host doesn't know it. The lock must be held.
func (g *Gateway) shardMembers(service, name string) []string {
	m := g.shards.maps[service]
	if m == nil {
		return nil
	}
	return m.Members(name)
}

// startOwned counts an attempt on its target and writes the decision to a response. The lock must be
// held.
func (g *Gateway) startOwned(now time.Time, q *wire.PlaceRequest, w *work.Work, req *placement.Request, at *attempt, response *wire.PlaceResponse) {
	t, listed := g.Fleet.Find(at.decision.Target)
	if !listed {
		response.Unusable, response.Refusal = true, "the chosen target has just been removed from the list of targets"
		return
	}
	if g.isEvacuated(t.FailureDomain) || !g.takeCold(now, &t) {
		response.Refusal = "the failure domain of the chosen target is evacuated, or the target has just become cold"
		return
	}
	response.Granted = g.cold.targets.Cold(now, t.ID, t.Started)
	at.target = t
	req.Version, req.Chain = at.version, at.chain
	g.planTransfers(w, at)
	owned := &ownedTicket{
		ticket: g.placer.StartRemote(now, req, &at.decision), request: ownedRequest{q.Host, q.RequestId}, version: at.version, deadline: w.Deadline,
	}
	o := &g.shards.owned
	if o.tickets == nil {
		o.tickets, o.latest = map[int64]*ownedTicket{}, map[ownedRequest]int64{}
		// Numbers of an earlier process must not be mistaken for those of this one.
		o.last = now.UnixNano()
	}
	o.last++
	o.tickets[o.last], o.latest[owned.request] = owned, o.last
	g.count("shards.placedForOthers")
	chosen := &at.decision.Chosen
	response.Ticket, response.Target = o.last, t.ID
	response.Version, response.VersionNumber = at.version, at.versionNumber
	response.Fetch, response.Save, response.FetchEnd = at.fetch, at.save, at.fetchEnd
	response.Reason, response.Source, response.ReusedTokens = string(at.decision.Reason), string(chosen.Source), int32(chosen.ReusedTokens)
	response.Wait, response.Import, response.Prefill, response.Penalty = chosen.Wait, chosen.Import, chosen.Prefill, chosen.Penalty
	response.ExpectedFirstMicros = owned.ticket.ExpectedFirst.Microseconds()
	response.Candidates = int32(len(at.decision.Considered))
}

// workOf returns the request that another host wants to be placed.
func workOf(now time.Time, q *wire.PlaceRequest) *work.Work {
	w := &work.Work{
		ID: q.RequestId, Account: q.Account, Service: q.Service, Model: q.Model, Cache: q.Cache, Priority: int(q.Priority),
		Route:        &routing.Route{Kind: routing.Stream, Resumable: q.Resumable, Goal: time.Duration(q.GoalMillis) * time.Millisecond},
		PromptTokens: int(q.PromptTokens), AnswerTokens: int(q.AnswerTokens),
		Received: now.Add(-time.Duration(q.AgeMillis) * time.Millisecond), Deadline: now.Add(time.Duration(q.LeftMillis) * time.Millisecond),
		LastEventID: eventstream.NoID,
	}
	for _, part := range q.Parts {
		w.Parts = append(w.Parts, work.Part{Key: part.Key, Tokens: int(part.Tokens)})
	}
	return w
}

// ProgressFor records the progress of attempts that this host has placed for another one, and returns the
// loads of the shards that this host owns.
func (g *Gateway) ProgressFor(q *wire.ProgressRequest) *wire.ProgressResponse {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyProgress(now, q.Host, q.Progress)
	return &wire.ProgressResponse{Loads: g.reportedLoads(now)}
}

// applyProgress applies the progress that a host reports. The lock must be held.
func (g *Gateway) applyProgress(now time.Time, host string, list []*wire.TicketProgress) {
	defer g.runQueues(now)
	for _, p := range list {
		number := p.Ticket
		if number == 0 {
			g.abandonQueued(now, ownedRequest{host, p.AbandonedRequest})
			number = g.shards.owned.latest[ownedRequest{host, p.AbandonedRequest}]
		}
		owned := g.shards.owned.tickets[number]
		if owned == nil || owned.request.host != host {
			continue
		}
		if p.FirstMicros > 0 {
			g.placer.RecordRemoteFirst(now, &owned.ticket, time.Duration(p.FirstMicros)*time.Microsecond)
			g.recordQueuedFirst(now, owned.queued)
		}
		if !p.Ended {
			continue
		}
		g.endOwned(now, number, owned)
		target := owned.ticket.Target
		switch p.Outcome {
		case wire.Outcome_OUTCOME_ANSWERED:
			g.placer.RecordOutcome(now, target, false)
		case wire.Outcome_OUTCOME_FAILED:
			g.placer.RecordOutcome(now, target, true)
		case wire.Outcome_OUTCOME_MISDIRECTED:
			// The list of targets is updated seconds after a process has been replaced.
			g.avoidAfterMisdirected(now, target, owned.version)
		case wire.Outcome_OUTCOME_UNREACHED:
			g.placer.RecordOutcome(now, target, true)
			g.addUnreached(now, host, target)
		default:
		}
	}
}

// addUnreached records that another host hasn't reached a target. The target gets no requests for some
// time if two hosts report that: a host that is cut off from the targets reports all of them, and would
// take them from all others. The lock must be held.
func (g *Gateway) addUnreached(now time.Time, host, target string) {
	avoidFor := g.Config.Retries.AvoidFor.Duration
	o := &g.shards.owned
	maps.DeleteFunc(o.unreached, func(_ string, u unreachedTarget) bool { return now.Sub(u.at) > avoidFor })
	if earlier, known := o.unreached[target]; known && earlier.host != host {
		g.placer.Avoid(target, now.Add(avoidFor))
	}
	if o.unreached == nil {
		o.unreached = map[string]unreachedTarget{}
	}
	o.unreached[target] = unreachedTarget{host, now}
}

// endOwned ends a ticket. The lock must be held.
func (g *Gateway) endOwned(now time.Time, number int64, owned *ownedTicket) {
	g.placer.Finish(now, &owned.ticket)
	g.endQueued(now, owned.queued)
	o := &g.shards.owned
	delete(o.tickets, number)
	if o.latest[owned.request] == number {
		delete(o.latest, owned.request)
	}
}

// expireOwned ends the tickets whose requests have reached their deadlines without a report.
func (g *Gateway) expireOwned() {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for number, owned := range g.shards.owned.tickets {
		if now.After(owned.deadline.Add(avoidOwnerFor)) {
			g.endOwned(now, number, owned)
			g.count("shards.ticketsExpired")
		}
	}
	g.runQueues(now)
	g.dropQueues()
}

// loadOf returns the load of a shard that this host owns. The lock must be held.
func (g *Gateway) loadOf(name string) shard.Load {
	if load, known := g.queueLoad(name); known {
		return load
	}
	wait, memory := g.placer.PoolLoad(g.Clock.Now(), name)
	return shard.Load{Wait: wait, Memory: memory, Unstored: g.shards.unstored.share()}
}

func (g *Gateway) wireLoad(name string) *wire.ShardLoad {
	l := g.loadOf(name)
	load := &wire.ShardLoad{Shard: name, Wait: float32(l.Wait.Seconds()), Memory: float32(l.Memory), Unstored: float32(l.Unstored)}
	for _, wait := range l.Waits {
		load.Waits = append(load.Waits, float32(wait.Seconds()))
	}
	return load
}
