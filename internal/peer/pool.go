package peer

import (
	"context"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

// PoolHome returns the URL of the host that decides for a pool. ok is false
// when this host is that one, or when it isn't known to be ready.
func (g *Group) PoolHome(pool string) (url string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := g.table.Home(pool)
	if name == g.Self.Name {
		return "", false
	}
	m, known := g.table.Get(name)
	told, reported := g.reports[name]
	ready := reported && told.report.Ready && g.Clock.Now().Sub(told.at) < reportFor
	if !known || m.Status != membership.Alive || !ready {
		return "", false
	}
	return m.URL, true
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
