package gateway

import (
	"context"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/retry"
)

// Limits of one report, so that its size doesn't grow with the system.
const (
	maxReportSuspects = 32
	maxReportLoads    = 64
)

const (
	// peerLoadInterval is the interval at which the loads reported by peers are
	// applied with few hosts.
	peerLoadInterval = 50 * time.Millisecond
	// peerLoadPerHost is the part of the interval for each host, so that the time that it
	// takes does not grow with the hosts.
	peerLoadPerHost = time.Millisecond
)

// LoadProvider provides what the other hosts have placed on targets.
type LoadProvider interface {
	Loads() map[string]placement.TargetLoad
}

// FollowPeers applies the loads reported by peers until ctx ends.
func (g *Gateway) FollowPeers(ctx context.Context, peers LoadProvider) {
	interval := peerLoadInterval
	for clock.Tick(ctx, g.Clock, interval) == nil {
		g.applyPeerLoads(peers.Loads())
		if g.HostCount != nil {
			interval = max(peerLoadInterval, time.Duration(g.HostCount())*peerLoadPerHost)
		}
	}
}

func (g *Gateway) applyPeerLoads(loads map[string]placement.TargetLoad) {
	now := g.Clock.Now()
	targets := g.Fleet.Targets()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range targets {
		g.placer.SetPeerLoad(now, t.ID, loads[t.ID])
	}
	g.refreshCold(now)
	g.logPace(now)
}

// PeerLoads returns what this host has placed on targets.
func (g *Gateway) PeerLoads() []placement.TargetLoad {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.Loads(now, maxReportLoads)
}

// PeerReport returns the report for peers: the number of requests being served,
// and what may have crashed targets.
func (g *Gateway) PeerReport() peer.Report {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	report := peer.Report{RequestsInFlight: g.Active()}
	report.Suspects = g.suspects.Report(now, maxReportSuspects)
	report.Leaving = g.reportLeaving(now)
	report.Limits = g.reportLimits(now)
	report.Brittle = reportStatements(now, &g.brittle.Statements)
	return report
}

// MergeSuspects adds the suspects reported by a peer.
func (g *Gateway) MergeSuspects(suspects []retry.Suspect) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range suspects {
		if g.suspects.Merge(now, s) {
			g.logBlamed(s.Key, "peer")
		}
	}
}
