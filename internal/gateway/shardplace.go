package gateway

import (
	"context"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// placeIn lets the owner of a shard place a request on its targets. It returns ok false if no owner
// has decided.
func (g *Gateway) placeIn(ctx context.Context, name string, req *placement.Request, w *work.Work) (at *attempt, none noChoice, ok bool) {
	deadline := g.Clock.Now().Add(placeTimeout)
	for range shardOwners {
		g.mu.Lock()
		owner := g.ownerOf(name)
		g.mu.Unlock()
		switch owner {
		case "":
			return nil, noChoice{}, false
		case g.Host:
			at, none = g.chooseIn(name, req, w)
			return at, none, at != nil || none.loaded
		}
		left := deadline.Sub(g.Clock.Now())
		if left < placeTimeout/2 {
			break // All hosts that are asked together must not take too much of the objective.
		}
		response, err := g.askOwner(ctx, owner, name, left, 0, req, w)
		if err == nil && response.Ready {
			return g.acceptPlacement(owner, response, req, w)
		}
		if ctx.Err() != nil {
			break // The caller has left or the deadline has passed, which says nothing about the owner.
		}
		g.avoidOwner(owner, err)
	}
	return nil, noChoice{}, false
}

// chooseAlone places a request on the targets of a shard by the view of this host.
func (g *Gateway) chooseAlone(name string, req *placement.Request, w *work.Work) (*attempt, noChoice) {
	own := *req
	own.Model = name
	at, none := g.choose(&own, w)
	if at != nil {
		at.shard = name
	}
	return at, none
}

// chooseIn places a request on the targets of a shard that this host owns.
func (g *Gateway) chooseIn(name string, req *placement.Request, w *work.Work) (*attempt, noChoice) {
	at, none := g.chooseAlone(name, req, w)
	if at != nil {
		at.owner = g.Host
	}
	g.mu.Lock()
	g.shards.loads.Record(g.Clock.Now(), name, g.loadOf(name))
	g.mu.Unlock()
	return at, none
}

// askOwner asks a host to place a request, and waits for at most timeout. The request may wait there for
// up to hold.
func (g *Gateway) askOwner(ctx context.Context, owner, name string, timeout, hold time.Duration, req *placement.Request, w *work.Work) (*wire.PlaceResponse, error) {
	now := g.Clock.Now()
	request := &wire.PlaceRequest{
		Host: g.Host, RequestId: w.ID, Service: w.Service, Shard: name, Account: w.Account, Model: w.Model,
		Cache: g.Routes().Cache(w.Account), Priority: int32(w.Priority), PromptTokens: int32(req.PromptTokens), AnswerTokens: int32(req.AnswerTokens),
		Resumable: req.Resumable, Build: req.Build, GoalMillis: w.Route.Goal.Milliseconds(), AgeMillis: max(0, now.Sub(w.Received).Milliseconds()),
		LeftMillis: w.Deadline.Sub(now).Milliseconds(), Repeated: len(req.Exclude) > 0, HoldMillis: hold.Milliseconds(),
	}
	for _, part := range w.Parts {
		request.Parts = append(request.Parts, &wire.PromptPart{Key: part.Key, Tokens: int32(part.Tokens)})
	}
	g.mu.Lock()
	request.Exclude = g.excludedIn(w.Service, name, req.Exclude)
	progress := g.takeProgress(owner)
	g.mu.Unlock()
	request.Progress = progress.list
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := g.ShardRelay.Place(callCtx, owner, request)
	g.measure("shards.askMicros", g.Clock.Now().Sub(now))
	if err != nil {
		g.mu.Lock()
		progress.list = append(progress.list, &wire.TicketProgress{AbandonedRequest: w.ID, Ended: true})
		g.returnProgress(owner, progress)
		g.mu.Unlock()
	}
	return response, err
}

// placedLocally reports whether only this host itself places its requests on a target, since each
// host keeps to its own part of what the target takes. The lock must be held.
func (g *Gateway) placedLocally(target string) bool {
	return g.limits.Limited(target) || g.brittle.Limited(target)
}

// excludedIn returns the targets of a shard that take no request of this host from the owner: those that
// the request has tried, those that are closed to this host, unless only for a swap that may have ended, and
// those that it places by itself. The lock must be held.
func (g *Gateway) excludedIn(service, name string, tried []string) []string {
	now := g.Clock.Now()
	var list []string
	for _, target := range g.shardMembers(service, name) {
		if slices.Contains(tried, target) || g.placedLocally(target) || (g.placer.Closed(now, target) && !g.mayHaveSwapped(now, target)) {
			list = append(list, target)
		}
	}
	return list
}

// acceptPlacement checks the decision of an owner by the view of this host.
func (g *Gateway) acceptPlacement(owner string, p *wire.PlaceResponse, req *placement.Request, w *work.Work) (*attempt, noChoice, bool) {
	now, steady := g.Clock.Now(), g.Steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Ticket == 0 && p.Unusable {
		g.count("shards.unusable")
		return nil, noChoice{}, false
	}
	if p.Ticket == 0 {
		g.recordShardLoad(now, p.Load)
		until := now.Add(time.Duration(p.RetryAfterMillis) * time.Millisecond)
		return nil, noChoice{why: p.Refusal, until: until, refused: p.Refused != ""}, true
	}
	at := &attempt{
		version: p.Version, versionNumber: p.VersionNumber, owner: owner, urgency: int(p.Urgency),
		remote: &remoteTicket{owner: owner, ticket: p.Ticket, placedAt: now},
	}
	requested := g.Requested.Of(w.Model)
	if p.VersionNumber < requested.Version {
		at.outdatedFor = steady.Sub(requested.OutdatedSince(p.VersionNumber))
	}
	at.decision = placement.Decision{Target: p.Target, Reason: placement.Reason(p.Reason), Chosen: placement.Estimate{
		Target: p.Target, Wait: p.Wait, Import: p.Import, Prefill: p.Prefill, Penalty: p.Penalty, Slowness: 1, Source: placement.Source(p.Source), ReusedTokens: int(p.ReusedTokens),
	}}
	t, listed := g.Fleet.Find(p.Target)
	fault := "the target is not listed for the service or leaving"
	if listed && !t.Leaving && t.Service == w.Service {
		g.learnVersion(now, &t, w.Model, at)
		fault = g.placementFault(now, req, w, at, &t, p.Granted)
	}
	if fault != "" {
		g.reportEnd(at, wire.Outcome_OUTCOME_UNKNOWN)
		g.count("shards.placementsRejected")
		g.Log.Info().Str("part", "shards").Str("requestId", w.ID).Str("owner", owner).Str("target", p.Target).Str("cause", fault).
			Msg("shards: placement of the owner not used")
		return nil, noChoice{}, false
	}
	at.granted = p.Granted || g.cold.targets.Cold(now, t.ID, t.Started)
	at.target = t
	at.shard = g.shardOf(&t)
	g.recordShardLoad(now, p.Load)
	// The configuration may have changed since the owner was asked.
	at.namespace = cacheNamespace(g.Routes(), w.Account, p.Version)
	if at.namespace == namespaceIn(p.Cache, p.Version) {
		at.fetch, at.save, at.fetchEnd = transferList(p.Fetch, w), transferList(p.Save, w), p.FetchEnd
	}
	at.ticket = placement.Ticket{Target: t.ID, PlacedAt: now, ExpectedFirst: time.Duration(p.ExpectedFirstMicros) * time.Microsecond}
	req.Version = at.version
	return at, noChoice{}, true
}

// placementFault returns why this host may not use the target and the weights that an owner has chosen, an
// empty string if it may. The lock must be held.
func (g *Gateway) placementFault(now time.Time, req *placement.Request, w *work.Work, at *attempt, t *fleet.Target, granted bool) string {
	requested := g.Requested.Of(w.Model)
	expectedFirst := time.Duration(at.decision.Chosen.FirstToken() * float64(time.Second))
	switch {
	case !g.mayUse(req, t):
		return "the target has another build"
	case versionName(w.Model, at.versionNumber) != at.version || !g.allowed(g.Steady.Now(), &requested, at.versionNumber):
		return "the weights may not be used"
	case at.outdatedFor > 0 && at.outdatedFor+expectedFirst > g.Config.Rollout.LatestBegin():
		return "the weights may no longer be used when the target begins"
	case g.placer.Closed(now, t.ID) || g.placedLocally(t.ID):
		return "the target takes no requests of this host, or only those that it places itself"
	case g.isEvacuated(t.FailureDomain):
		return "the failure domain of the target is evacuated"
	case !granted && !g.takeCold(now, t):
		return "the target is cold, and the owner has not counted the request"
	}
	return ""
}

// transferList returns the addresses of the parts of a request, nil unless there is one for each.
func transferList(addresses []string, w *work.Work) []string {
	if len(addresses) != len(w.Parts) {
		return nil
	}
	return addresses
}
