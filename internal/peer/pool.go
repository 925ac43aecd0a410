package peer

import (
	"context"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

// PoolOwner returns the URL of the ready host that decides for a pool, and
// whether it is this one. Without a ready host both are empty.
func (g *Group) PoolOwner(pool string) (url string, self bool) {
	ready := g.Ready()
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	name := g.table.OwnerAmong(pool, func(m membership.Member) bool {
		if m.Name == g.Self.Name {
			return ready
		}
		told, ok := g.reports[m.Name]
		return ok && m.Status == membership.Alive && told.report.Ready && now.Sub(told.at) < reportFor
	})
	if name == g.Self.Name {
		return "", true
	}
	m, _ := g.table.Get(name)
	return m.URL, false
}

// Decide asks the home of a pool for a decision.
func (g *Group) Decide(ctx context.Context, url string, request *wire.DecideRequest) (*wire.DecideResponse, error) {
	return wire.NewPeerProtobufClient(url, g.HTTP).Decide(ctx, request)
}

// Observe tells the home of a pool what became of its decisions.
func (g *Group) Observe(ctx context.Context, url string, request *wire.ObserveRequest) error {
	_, err := wire.NewPeerProtobufClient(url, g.HTTP).Observe(ctx, request)
	return err
}
