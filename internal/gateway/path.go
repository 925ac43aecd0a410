package gateway

import (
	"context"
	"errors"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

const (
	// pathProbeInterval is the interval at which a host without a path to any target tries to
	// open a connection to one, and pathProbeTimeout limits the attempt.
	pathProbeInterval = 300 * time.Millisecond
	pathProbeTimeout  = 400 * time.Millisecond
)

// RecordDial records whether a connection to an address was opened. Addresses of other kinds than
// targets are ignored.
func (g *Gateway) RecordDial(address string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	now := g.Clock.Now()
	g.mu.Lock()
	if !g.addresses[address] {
		g.mu.Unlock()
		return
	}
	lost, regained := false, false
	if err == nil {
		regained = g.path.Opened()
	} else {
		lost = g.path.Failed(now, address, len(g.addresses))
	}
	failed := g.path.FailedTargets()
	if regained {
		// Targets were avoided because of the path.
		for id := range g.avoidFactors {
			g.placer.Resume(id)
		}
		clear(g.avoidFactors)
	}
	g.mu.Unlock()
	switch {
	case lost:
		// Open connections may have died without notice.
		g.Targets.CloseIdle()
		g.count("targets.pathLost")
		g.Log.Warn().Str("part", "targets").Int("failedTargets", failed).Str("address", address).Err(err).
			Msg("targets: path to all targets lost, requests are relayed to other hosts")
	case regained:
		g.Log.Warn().Str("part", "targets").Str("address", address).Msg("targets: path to targets regained")
	}
}

// refusedHeadInterval is the shortest time between two log lines of refused heads.
const refusedHeadInterval = 10 * time.Second

// RecordRefusedHead records that the head of an answer wasn't believed.
func (g *Gateway) RecordRefusedHead(address string, err error) {
	g.count("targets.headsRefused")
	now := g.Clock.Now()
	g.mu.Lock()
	logged := now.Sub(g.headRefusedAt) >= refusedHeadInterval
	if logged {
		g.headRefusedAt = now
	}
	g.mu.Unlock()
	if logged {
		g.Log.Warn().Str("part", "targets").Str("address", address).Err(err).Msg("targets: answer refused, its connection is closed")
	}
}

// PathLost reports whether this host has lost its path to all targets.
func (g *Gateway) PathLost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.path.Lost()
}

// WatchPath tries to reach a target at intervals while the path to all targets is lost, until ctx
// ends.
func (g *Gateway) WatchPath(ctx context.Context) {
	clock.Every(ctx, g.Clock, pathProbeInterval, func(ctx context.Context) {
		targets := g.Fleet.Targets()
		if !g.PathLost() || len(targets) == 0 {
			return
		}
		g.mu.Lock()
		t := targets[g.rng.IntN(len(targets))]
		g.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, pathProbeTimeout)
		defer cancel()
		_ = g.Targets.Connect(ctx, t) // RecordDial receives the outcome.
	})
}

// unreachable reports whether a listed target of a service is avoided because it could not be
// reached.
func (g *Gateway) unreachable(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := false
	for id := range g.avoidFactors {
		t, listed := g.Fleet.Find(id)
		if !listed {
			delete(g.avoidFactors, id)
		}
		found = found || (listed && t.Service == service && !t.Leaving)
	}
	return found
}
