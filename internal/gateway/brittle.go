package gateway

import (
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/targetlimit"
)

// addBrittle records what a target has stated about the requests that it can reject, in an answer
// to this host or to a peer.
func (g *Gateway) addBrittle(s targetlimit.Statement, source string) {
	if t, listed := g.Fleet.Find(s.Target); !listed || t.Started != s.Started {
		return
	}
	now := g.Clock.Now()
	g.mu.Lock()
	changed := g.brittle.Add(s)
	if changed && !s.Limited {
		g.placer.Restrict(s.Target, nil)
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	g.Log.Info().Str("part", "targets").Str("target", s.Target).Int64("started", s.Started).Bool("brittle", s.Limited).
		Float64("rejectsPerSecond", s.PerSecond).Dur("age", now.Sub(s.At)).Str("source", source).Msg("targets: number of requests that a target can reject changed")
}

// restrictAll limits what this host places on brittle targets to its part of their room. The lock
// must be held.
func (g *Gateway) restrictAll() {
	for _, target := range g.brittle.Targets() {
		p := g.limitPosition(target)
		g.placer.Restrict(target, &placement.Restriction{Hosts: p.Hosts, Rank: p.Rank})
	}
}

// leaveBrittle places no requests on a target for some time if it is brittle and has rejected one.
func (g *Gateway) leaveBrittle(target string) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	pause := g.brittle.Pause(target, g.limitPosition(target).Hosts, g.rng.Float64())
	if pause <= 0 {
		return
	}
	g.placer.Quiet(target, now.Add(pause))
	g.count("targets.brittleRejected")
	g.Log.Info().Str("part", "targets").Str("target", target).Dur("for", pause).Msg("targets: brittle target has rejected a request and gets none for some time")
}

// MergeBrittle applies what targets have stated to a peer about the requests that they can reject.
func (g *Gateway) MergeBrittle(reported []peer.TargetLimit) {
	now := g.Clock.Now()
	for _, b := range reported {
		g.addBrittle(targetlimit.Statement{Target: b.Target, Started: b.Started, Limited: b.Limited, PerSecond: b.PerSecond, At: now.Add(-b.Age)}, "peer")
	}
}
