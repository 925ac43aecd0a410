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

// A failure that a target answered with must count once, as a failure.
func TestFailureThatIsPassedOnCountsAsFailure(t *testing.T) {
	g, _, _ := newStoreGateway(t)
	w := storeWork("w1")
	share := func(failed bool) float64 {
		req := g.placementRequest(w)
		at, none := g.choose(&req, w)
		if at == nil {
			t.Fatal(none.why)
		}
		at.failed = failed
		(&run{g: g}).recordAnswered(at)
		g.finishAttempt(at)
		return at.decision.Chosen.Penalty
	}
	before := share(true)
	if after := share(false); after <= before {
		t.Errorf("penalty of the target is %g after its failure and %g before, want a higher one", after, before)
	}
}

// The version in a cache namespace must be found whatever the names of the model and the
// client account contain.
func TestNamespaceVersion(t *testing.T) {
	for _, model := range []string{"m", "org/m", "a@b/c", "50%"} {
		for _, isolated := range []string{"none", "x/y", "z"} {
			cfg := &routing.Config{Accounts: []routing.Account{{Name: "x/y", Isolated: isolated == "x/y"}, {Name: "z", Isolated: isolated == "z"}}}
			cfg.Index()
			got, version, ok := namespaceVersion(cacheNamespace(cfg, "x/y", versionName(model, 7)))
			if got != model || version != 7 || !ok {
				t.Errorf("model %q, isolated %s: got %q, version %d, %t", model, isolated, got, version, ok)
			}
		}
	}
}

// A part that the chosen target is expected to hold must have a source as well, and never
// the target itself: running requests may have taken its place.
func TestExpectedPartsHaveSource(t *testing.T) {
	g, s, c := newStoreGateway(t)
	g.applyStoreEvents("s", s, newEvents(7, 5000, storedEvent(sharedNamespace)), c.now)
	first, second := g.place(storeWork("w1")), g.place(storeWork("w2"))
	if second.decision.Chosen.ReusedTokens == 0 {
		t.Fatal("the second request does not count on the part that the first one had")
	}
	for _, at := range []*attempt{first, second} {
		if diff := cmp.Diff([]string{storeAddress, ""}, at.fetch); diff != "" {
			t.Errorf("fetched (-want +got):\n%s", diff)
		}
	}
	g.markStoreUnavailable(s)
	if at := g.place(storeWork("w3")); at.fetch != nil {
		t.Errorf("fetched from %v, want nothing, as only the target itself has the part", at.fetch)
	}
}

// A request that would begin on replaced weights after their time limit, since it has to wait
// on the target, must not be sent there.
func TestExpectedWaitCountsTowardsUseOfOlderWeights(t *testing.T) {
	for name, test := range map[string]struct {
		left   time.Duration
		placed bool
	}{
		"begins in time": {3 * time.Second, true},
		"begins late":    {time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			g, _, c := newStoreGateway(t)
			g.TargetsChanged()
			cfg := g.Config.Rollout
			g.Requested.Add("m", 2, c.now.Add(test.left-cfg.TimeLimit.Duration+cfg.Margin.Duration))
			g.placer.SetPeerLoad(c.now, "e1", placement.TargetLoad{Requests: 4, PrefillTokens: 2 * g.Config.PrefillTokensPerSecond})
			w := storeWork("w1")
			req := g.placementRequest(w)
			at, _ := g.choose(&req, w)
			if placed := at != nil; placed != test.placed {
				t.Errorf("%s before the limit, with a wait of 2 s: placed %t, want %t", test.left, placed, test.placed)
			}
		})
	}
}
