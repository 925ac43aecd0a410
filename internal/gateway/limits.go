package gateway

import (
	"context"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/rollout"
	"sassafrasplank.example/sassafrasplank/internal/targetlimit"
)

const (
	// maxReportLimits limits the limits of targets in one report.
	maxReportLimits = 32
	// limitReportAge is how long peers are told what a target has stated.
	limitReportAge = 30 * time.Second
	// limitRank is the prefix of the names by whose hashes hosts are ordered for a target.
	limitRank = "limit/"
)

// addLimit records what a target has stated about its limit of calls, in an answer to this
// host or to a peer.
func (g *Gateway) addLimit(s targetlimit.Statement, source string) {
	if t, listed := g.Fleet.Find(s.Target); !listed || t.Started != s.Started {
		return
	}
	now := g.Clock.Now()
	g.mu.Lock()
	changed := g.limits.Add(now, s)
	if changed {
		g.pace(now, s.Target)
	}
	position := g.limitPosition(s.Target)
	g.mu.Unlock()
	if !changed {
		return
	}
	g.Log.Info().Str("part", "targets").Str("target", s.Target).Int64("started", s.Started).Bool("limited", s.Limited).
		Float64("perSecond", s.PerSecond).Int("hosts", position.Hosts).Int("rank", position.Rank).
		Dur("age", now.Sub(s.At)).Str("source", source).Msg("targets: limit of requests changed")
}

// limitPosition returns the position of this host among those that share the limit of a
// target.
func (g *Gateway) limitPosition(target string) targetlimit.Position {
	p := targetlimit.Position{Hosts: 1}
	if g.HostCount != nil {
		p.Hosts = g.HostCount()
	}
	if g.HostRank != nil {
		p.Rank = g.HostRank(limitRank + target)
	}
	return p
}

// pace closes a target to requests of this host until its limit allows the next one. The
// lock must be held.
func (g *Gateway) pace(now time.Time, target string) {
	g.placer.Pace(target, now.Add(g.limits.Wait(now, target, g.limitPosition(target))))
}

// paceAll paces all targets with a limit, since the part of this host depends on the other
// hosts. The lock must be held.
func (g *Gateway) paceAll(now time.Time) {
	for _, target := range g.limits.Targets() {
		g.pace(now, target)
	}
}

// takeCall counts a call to a target towards its limit. The lock must be held.
func (g *Gateway) takeCall(now time.Time, target string) {
	if g.limits.Limited(target) {
		g.limits.Take(now, target, g.limitPosition(target))
		g.pace(now, target)
	}
}

// retainLimits forgets the limits of processes that are no longer listed. The lock must be
// held.
func (g *Gateway) retainLimits(targets []fleet.Target) {
	started := make(map[string]int64, len(targets))
	for _, t := range targets {
		started[t.ID] = t.Started
	}
	listed := func(target string, at int64) bool {
		present, ok := started[target]
		return ok && present == at
	}
	g.limits.Retain(listed)
	g.brittle.Retain(listed)
}

// reportLimits returns what peers are told of the limits of targets. The lock must be held.
func (g *Gateway) reportLimits(now time.Time) []peer.TargetLimit {
	return reportStatements(now, &g.limits.Statements)
}

func reportStatements(now time.Time, statements *targetlimit.Statements) []peer.TargetLimit {
	var list []peer.TargetLimit
	for _, s := range statements.Report(now, limitReportAge, maxReportLimits) {
		list = append(list, peer.TargetLimit{Target: s.Target, Started: s.Started, Limited: s.Limited, PerSecond: s.PerSecond, Age: now.Sub(s.At)})
	}
	return list
}

// MergeLimits applies the limits of targets that a peer reported.
func (g *Gateway) MergeLimits(reported []peer.TargetLimit) {
	now := g.Clock.Now()
	for _, l := range reported {
		g.addLimit(targetlimit.Statement{Target: l.Target, Started: l.Started, Limited: l.Limited, PerSecond: l.PerSecond, At: now.Add(-l.Age)}, "peer")
	}
}

// Counted returns a client whose calls count towards the limits of targets. They don't wait,
// since few hosts make few of them.
func (g *Gateway) Counted(client rollout.TargetClient) rollout.TargetClient {
	return countedClient{client, g}
}

type countedClient struct {
	rollout.TargetClient

	g *Gateway
}

// State returns the state of a target.
func (c countedClient) State(ctx context.Context, t fleet.Target) (rollout.TargetState, error) {
	c.count(t)
	return c.TargetClient.State(ctx, t)
}

// OrderWeights orders a target to load a weight version.
func (c countedClient) OrderWeights(ctx context.Context, order rollout.Order, holder string, fencingToken int64) error {
	c.count(order.Target)
	return c.TargetClient.OrderWeights(ctx, order, holder, fencingToken)
}

func (c countedClient) count(t fleet.Target) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	now := c.g.Clock.Now()
	c.g.takeCall(now, t.ID)
	c.g.countCold(now, &t)
}
