package placement_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

// A fixed seed makes every run check the properties with the same steps.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// newPlacer returns a Placer with n engines. Engines with an even index have
// loaded version a, the others version b.
func newPlacer(n int, warmUp time.Duration, now time.Time) *placement.Placer {
	p := placement.NewPlacer(placement.Params{
		PreferredCount: 4, RandomCount: 4, BlockTokens: fakeBlockTokens, IndexEntries: 1000, BytesPerToken: fakeBytesPerToken,
		LongSlotPercent: 50, SlowRatio: 2, ProbeEvery: time.Second, WarmUp: warmUp, Seed: 3,
	})
	var specs []placement.EngineSpec
	for i := range n {
		specs = append(specs, placement.EngineSpec{Name: engineName(i), Models: []string{fakeModel}, Slots: 4, PrefillRate: 1000, TokenGap: fakeGap})
	}
	p.SetEngines(now, specs)
	for i := range n {
		p.ApplyReport(now, engineName(i), placement.LoadReport{Versions: []string{versionOf(i)}, Incarnation: 1})
	}
	return p
}

func versionOf(i int) string { return string(rune('a' + i%2)) }

// With cache events, delayed reports and MarkLeaving in any order, a request is
// placed only on an engine that has loaded its version, is not leaving and was
// not tried, and never with a prefix of another account or version.
func TestPlacementKeepsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		const n = 6
		p := newPlacer(n, 0, now)
		p.SetLinks([]placement.LinkSpec{{Store: "s", BytesPerSecond: 1e9}})
		leaving := map[int]time.Time{}
		chains := map[string][]prefix.Key{}
		for _, account := range []string{"x", "y"} {
			for _, version := range []string{"a", "b"} {
				chains[account+version] = prefix.Chain(nil, prefix.Seed(account, fakeModel, version), string(make([]byte, 3*fakeBlockTokens*4)), fakeBlockTokens)
			}
		}
		cached := map[string]bool{}
		var decision placement.Decision
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "millis")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "engine")
			account := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account")
			version := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "version")
			chain := chains[account+version]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				key := rapid.IntRange(0, 2).Draw(t, "key")
				removed := rapid.Bool().Draw(t, "removed")
				p.RecordCached(engineName(i), chain[key], removed)
				p.RecordStored("s", chain[key], removed)
				if !removed {
					cached[account+version] = true
				}
			case 1:
				// A report that the engine sent before it was leaving.
				p.ApplyReport(now, engineName(i), placement.LoadReport{Running: 3, Versions: []string{versionOf(i)}, Incarnation: 1})
			case 2:
				p.MarkLeaving(now, engineName(i))
				leaving[i] = now
			case 3, 4:
				excluded := engineName(rapid.IntRange(0, n-1).Draw(t, "excluded"))
				req := &placement.Request{
					ID: "r", Account: account, Model: fakeModel, Version: version, PromptTokens: 4 * fakeBlockTokens, AnswerTokens: 10,
					Chain: chain, Exclude: []string{excluded},
				}
				p.Place(now, req, &decision)
				checkPlaced(t, now, req, &decision, leaving, cached[account+version])
				if decision.Target != "" {
					ticket := p.Start(now, req, &decision)
					cached[account+version] = true
					p.Finish(now, &ticket)
				}
			}
		}
	})
}

func checkPlaced(t *rapid.T, now time.Time, req *placement.Request, d *placement.Decision, leaving map[int]time.Time, seen bool) {
	if d.Target == "" {
		return
	}
	number := 0
	if _, err := fmt.Sscanf(d.Target, "engine-%d", &number); err != nil {
		t.Fatal(err)
	}
	number--
	if versionOf(number) != req.Version {
		t.Fatalf("request for version %s was placed on %s, which has not loaded it", req.Version, d.Target)
	}
	if slices.Contains(req.Exclude, d.Target) {
		t.Fatalf("request was placed on the excluded target %s", d.Target)
	}
	// After maxReportAge, 3 s, a load report may revoke MarkLeaving.
	if at, ok := leaving[number]; ok && now.Sub(at) <= 3*time.Second {
		t.Fatalf("%s got a new request %s after it was marked as leaving", d.Target, now.Sub(at))
	}
	if !seen && d.Source() != placement.SourceNone {
		t.Fatalf("placement reuses a prefix of account %s, version %s that was never cached or stored", req.Account, req.Version)
	}
}

// A new engine gets few requests at first and more during its warm-up.
func TestNewEngineWarmsUp(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPlacer(1, 10*time.Second, now)
	place := func() bool {
		req := &placement.Request{ID: "r", Model: fakeModel, Version: "a", PromptTokens: 10, AnswerTokens: 10}
		var d placement.Decision
		p.Place(now, req, &d)
		if d.Target == "" {
			return false
		}
		p.Start(now, req, &d)
		return true
	}
	filled := func() int {
		n := 0
		for place() {
			n++
			if n == 4 {
				break
			}
		}
		return n
	}
	if got := filled(); got != 1 {
		t.Errorf("new engine: got %d requests, want 1", got)
	}
	now = now.Add(5 * time.Second)
	if got := filled(); got != 1 {
		t.Errorf("after 5 s of a warm-up of 10 s: got %d more requests, want 1 more, 2 in all", got)
	}
}

// No long request is placed on an engine whose slots for long requests are taken.
// Requests that turned out to be long while they run count as long as well.
func TestLongSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPlacer(1, 0, now)
	short := &placement.Request{ID: "r", Model: fakeModel, Version: "a", PromptTokens: 10, AnswerTokens: 10}
	long := &placement.Request{ID: "r", Model: fakeModel, Version: "a", PromptTokens: 10, AnswerTokens: 10_000, Long: true}
	var d placement.Decision
	p.Place(now, short, &d)
	ticket := p.Start(now, short, &d)
	p.MarkLong(&ticket)
	p.Place(now, long, &d)
	p.Start(now, long, &d)
	p.Place(now, long, &d)
	if d.Target != "" || d.Reason != placement.ReasonNoLongSlot {
		t.Errorf("got target %q, reason %s; want none for a third long request", d.Target, d.Reason)
	}
	p.Place(now, short, &d)
	if d.Target == "" {
		t.Error("got no target for a short request, want one")
	}
}

// The death of a target is attributed to the suspect that ran on it without a
// first token, and not to the other requests on it.
func TestCrashIsAttributedToSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPlacer(1, 0, now)
	var d placement.Decision
	suspect := &placement.Request{ID: "r", Model: fakeModel, Version: "a", PromptTokens: 10, AnswerTokens: 10, Suspect: true}
	p.Place(now, suspect, &d)
	ticket := p.Start(now, suspect, &d)
	if !p.CrashedBySuspect(now, d.Target) {
		t.Error("crash is not attributed to a suspect that runs without a first token")
	}
	p.Finish(now, &ticket)
	if !p.CrashedBySuspect(now.Add(time.Second), engineName(0)) || p.CrashedBySuspect(now.Add(time.Minute), engineName(0)) {
		t.Error("want the crash attributed to the suspect 1 s after its end, but not 1 min after it")
	}
	later := now.Add(time.Minute)
	p.Place(later, suspect, &d)
	ticket = p.Start(later, suspect, &d)
	p.RecordFirstToken(later, &ticket)
	p.Finish(later, &ticket)
	if p.CrashedBySuspect(later, engineName(0)) {
		t.Error("crash is attributed to a suspect that had its first token")
	}
}

// The estimate of the memory in use on a target is right even if the requests of
// this host differ in size from those of its peers, or if it runs none there.
func TestMemoryOfPeersIsCounted(t *testing.T) {
	const memory = 100_000
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		own, peers, peerTokens int
		fits                   bool
	}{
		"one large request beside small ones": {own: 20_000, peers: 12, peerTokens: 24_000, fits: true},
		"one small request beside large ones": {own: 500, peers: 6, peerTokens: 90_000, fits: false},
		"none beside large ones":              {peers: 6, peerTokens: 90_000, fits: false},
		"peers of unknown size":               {own: 20_000, peers: 6, fits: false},
	} {
		t.Run(name, func(t *testing.T) {
			p := placement.NewPlacer(placement.Params{PreferredCount: 4, RandomCount: 4, BlockTokens: fakeBlockTokens, IndexEntries: 1000, LongSlotPercent: 100, SlowRatio: 2, Seed: 3})
			p.SetEngines(now, []placement.EngineSpec{{Name: "e", Models: []string{fakeModel}, Slots: 64, PrefillRate: 1000, TokenGap: fakeGap, MemoryTokens: memory}})
			p.ApplyReport(now, "e", placement.LoadReport{Versions: []string{fakeVersion}, Incarnation: 1})
			req := placement.Request{ID: "own", Model: fakeModel, Version: fakeVersion, PromptTokens: test.own}
			var d placement.Decision
			if test.own > 0 {
				p.Place(now, &req, &d)
				p.Start(now, &req, &d)
			}
			p.SetPeerLoad(now, "e", placement.TargetLoad{Requests: test.peers, HeldTokens: float64(test.peerTokens)})
			req = placement.Request{ID: "next", Model: fakeModel, Version: fakeVersion, PromptTokens: 10_000, MaxMemoryShare: 0.85}
			p.Place(now, &req, &d)
			if (d.Target == "e") != test.fits {
				t.Errorf("got target %q (%s), want a target: %v", d.Target, d.Reason, test.fits)
			}
		})
	}
}

// A new engine that is listed before an idle known one must not take its number, which
// would make the known one lose its versions and its cache.
func TestKnownEngineKeepsItsState(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPlacer(2, 0, now)
	specs := []placement.EngineSpec{
		{Name: "new", Models: []string{fakeModel}, Slots: 4, PrefillRate: 1000},
		{Name: engineName(0), Models: []string{fakeModel}, Slots: 4, PrefillRate: 1000},
		{Name: engineName(1), Models: []string{fakeModel}, Slots: 4, PrefillRate: 1000},
	}
	p.SetEngines(now, specs)
	for i := range 2 {
		if !p.HasVersion(engineName(i), versionOf(i)) {
			t.Errorf("%s has lost its version", engineName(i))
		}
	}
}

// In a pool with more engines than candidates, a request must be placed as long as any
// engine can run it.
func TestLargePoolIsSearchedForUsableEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	const n = 100
	p := newPlacer(n, 0, now)
	for i := range n {
		if i != 62 {
			p.Avoid(engineName(i), now.Add(time.Minute))
		}
	}
	var d placement.Decision
	p.Place(now, &placement.Request{ID: "r", Model: fakeModel, Version: versionOf(62), PromptTokens: 10}, &d)
	if d.Target != engineName(62) {
		t.Errorf("placed on %q for reason %s, want the only usable engine %s", d.Target, d.Reason, engineName(62))
	}
}
