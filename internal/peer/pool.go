package peer

import (
	"context"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

// PoolOwner returns the URL of the ready host that admits and places the requests
// of a pool. If this host is the owner, it returns an empty URL and true. If no host
// is ready, it returns an empty URL and false.
func (g *Group) PoolOwner(pool string) (url string, self bool) {
	ready := g.Ready()
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	name := g.members.OwnerAmong(pool, func(m membership.Member) bool {
		if m.Name == g.Self.Name {
			return ready
		}
		received, ok := g.reports[m.Name]
		return ok && m.Status == membership.Alive && received.report.Ready && now.Sub(received.at) < reportMaxAge
	})
	if name == g.Self.Name {
		return "", true
	}
	m, _ := g.members.Get(name)
	return m.URL, false
}

// Decide asks the pool owner at url to admit and place a request.
func (g *Group) Decide(ctx context.Context, url string, request *wire.DecideRequest) (*wire.DecideResponse, error) {
	return wire.NewPeerProtobufClient(url, g.HTTP).Decide(ctx, request)
}

// Observe reports to the pool owner at url the progress and the end of requests
// that it placed.
func (g *Group) Observe(ctx context.Context, url string, request *wire.ObserveRequest) error {
	_, err := wire.NewPeerProtobufClient(url, g.HTTP).Observe(ctx, request)
	return err
}
