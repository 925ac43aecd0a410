package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// A refusal must state its cause and the values involved.
func TestRefusalStatesItsCause(t *testing.T) {
	for want, prepare := range map[string]func(g *Gateway){
		"the least used target's memory would be 1.16 full, the limit is 1.05": func(g *Gateway) {
			g.placer.SetPeerLoad(g.Clock.Now(), "e1", placement.TargetLoad{Requests: 3, HeldTokens: 10_500})
		},
		"no target is listed, ready and usable": func(g *Gateway) {
			g.placer.Avoid("e1", g.Clock.Now().Add(time.Hour))
		},
	} {
		g, _, _ := newStoreGateway(t)
		g.SetRoutes(&routing.Config{Version: 2, Services: map[string]routing.Service{
			"loom": {Name: "loom", Engine: &routing.Engine{Slots: 16, CacheTokens: 10_000}},
		}})
		g.TargetsChanged()
		prepare(g)
		w := storeWork("w1")
		req := g.placementRequest(w)
		at, none := g.choose(&req, w)
		if at != nil {
			t.Errorf("placed on %s, want a refusal: %s", at.decision.Target, want)
		}
		if diff := cmp.Diff(want, none.why); diff != "" {
			t.Errorf("cause (-want +got):\n%s", diff)
		}
	}
}
