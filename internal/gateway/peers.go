package gateway

import (
	"context"
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
	Loads() map[string]placement.TargetLoad
}

// FollowPeers takes in the loads of the peers until ctx ends.
func (g *Gateway) FollowPeers(ctx context.Context, peers LoadProvider) {
	clock.Every(ctx, g.Clock, peerLoadEvery, func(context.Context) {
		loads := peers.Loads()
		now := g.Clock.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, t := range g.Fleet.Targets() {
			g.board.SetPeerLoad(now, t.ID, loads[t.ID])
		}
	})
}

// PeerReport tells the peers what this host has placed, and of requests under
// which targets died.
func (g *Gateway) PeerReport() peer.Report {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	report := peer.Report{RequestsInFlight: g.Active(), Loads: g.board.Loads(now, loadsTold)}
	report.Suspects = peer.SuspectsOf(now, &g.suspects, suspectsTold)
	return report
}

// MergeSuspects takes in the suspects of a peer.
func (g *Gateway) MergeSuspects(suspects []peer.Suspect) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	peer.MergeSuspects(now, &g.suspects, suspects)
}
