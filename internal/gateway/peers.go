package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/placement"
)

// Bounds of one report, so that its size doesn't grow with the system.
const (
	suspectsTold = 32
	loadsTold    = 64
)

// peerLoadEvery is the time between two looks at what the peers report.
const peerLoadEvery = 50 * time.Millisecond

// LoadProvider gives what the other hosts have placed on targets.
type LoadProvider interface {
	Loads() map[string]peer.TargetLoad
}

// FollowPeers takes in the loads of the peers until ctx ends.
func (g *Gateway) FollowPeers(ctx context.Context, peers LoadProvider) {
	clock.Every(ctx, g.Clock, peerLoadEvery, func(context.Context) {
		loads := peers.Loads()
		now := g.Clock.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, t := range g.Fleet.Targets() {
			load := loads[t.ID]
			g.board.SetPeerLoad(now, t.ID, placement.PeerLoad{Requests: load.Requests, PrefillTokens: load.PrefillTokens, HeldTokens: load.HeldTokens})
		}
	})
}

// PeerReport tells the peers what this host has placed, and of requests under
// which targets died.
func (g *Gateway) PeerReport() peer.Report {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	report := peer.Report{RequestsInFlight: g.Active()}
	loads := g.board.InFlight(now)
	slices.SortFunc(loads, func(a, b placement.InFlight) int { return cmp.Compare(b.PrefillTokens, a.PrefillTokens) })
	for _, load := range loads[:min(loadsTold, len(loads))] {
		report.Loads = append(report.Loads, peer.TargetLoad(load))
	}
	g.suspects.All(now, func(fingerprint string, crashes int, age time.Duration) {
		if len(report.Suspects) < suspectsTold {
			report.Suspects = append(report.Suspects, peer.Suspect{Fingerprint: fingerprint, Crashes: crashes, Age: age})
		}
	})
	return report
}

// MergeSuspects takes in the suspects of a peer.
func (g *Gateway) MergeSuspects(suspects []peer.Suspect) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range suspects {
		g.suspects.Merge(now, s.Fingerprint, s.Crashes, s.Age)
	}
}
