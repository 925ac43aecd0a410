package gateway

import (
	"strings"
	"testing"

	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// isolate applies a version of the configuration in which some accounts are isolated.
func (g *Gateway) isolate(version int64, isolated ...string) {
	now := *g.Routes()
	c := &routing.Config{Version: version, Services: now.Services, Accounts: []routing.Account{{Name: "a"}, {Name: "b"}}}
	for i := range c.Accounts {
		for _, name := range isolated {
			c.Accounts[i].Isolated = c.Accounts[i].Isolated || c.Accounts[i].Name == name
		}
	}
	c.Index()
	g.SetRoutes(c)
}

// A request that waited, or was sent again, used caches by the configuration by which it was received.
func TestWaitingRequestUsesCacheOfConfigurationInForce(t *testing.T) {
	g, s, c := newStoreGateway(t)
	g.isolate(2)
	g.applyStoreEvents("s", s, newEvents(7, 5000, storedEvent(sharedNamespace)), c.now)
	w := storeWork("w1")
	w.Account = "a"
	req := g.placementRequest(w)
	first, _ := g.choose(&req, w)
	g.isolate(3, "a")
	second, _ := g.choose(&req, w)
	other := storeWork("w2")
	other.Account = "b"
	third := g.place(other)
	if first.namespace != sharedNamespace || first.fetch == nil {
		t.Errorf("before the change: got namespace %q and sources %v, want the shared one with a source", first.namespace, first.fetch)
	}
	if !strings.HasPrefix(second.namespace, "account/a/") || second.fetch != nil {
		t.Errorf("the isolated account: got namespace %q and sources %v, want its own without a source", second.namespace, second.fetch)
	}
	if third.namespace == sharedNamespace || third.namespace == second.namespace || third.fetch != nil {
		t.Errorf("another account: got namespace %q and sources %v, want one that account a has never used", third.namespace, third.fetch)
	}
}

// A request whose account was taken away, with all others, read and wrote the cache that others share.
func TestRequestOfRemovedAccountSharesNoCache(t *testing.T) {
	for name, next := range map[string]routing.Config{
		"another is left": {Accounts: []routing.Account{{Name: "b"}}},
		"none is left":    {},
		"no list is left": {Keyless: true},
	} {
		t.Run(name, func(t *testing.T) {
			g, s, c := newStoreGateway(t)
			g.isolate(2, "a")
			g.applyStoreEvents("s", s, newEvents(7, 5000, storedEvent(sharedNamespace)), c.now)
			w := storeWork("w1")
			w.Account = "a"
			req := g.placementRequest(w)
			next.Version, next.Services = 3, g.Routes().Services
			next.Index()
			g.SetRoutes(&next)
			at, _ := g.choose(&req, w)
			if !strings.HasPrefix(at.namespace, "account/a/") || at.fetch != nil {
				t.Errorf("got namespace %q and sources %v, want that of the account without a source", at.namespace, at.fetch)
			}
		})
	}
}
