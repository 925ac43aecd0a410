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

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// newBoard returns a board of n engines; even ones hold version a, odd ones b.
func newBoard(n int, warmUp time.Duration, now time.Time) *placement.Placer {
	b := placement.NewPlacer(placement.Params{
		PreferredCount: 4, RandomCount: 4, BlockTokens: fakePieceTokens, IndexEntries: 1000, BytesPerToken: fakeBytesPerToken,
		LongSlotPercent: 50, SlowRatio: 2, ProbeEvery: time.Second, WarmUp: warmUp, Seed: 3,
	})
	var specs []placement.EngineSpec
	for i := range n {
		specs = append(specs, placement.EngineSpec{Name: engineName(i), Models: []string{fakeModel}, Slots: 4, PrefillRate: 1000, TokenGap: fakeGap})
	}
	b.SetEngines(now, specs)
	for i := range n {
		b.ApplyReport(now, engineName(i), placement.LoadReport{Versions: []string{versionOf(i)}, Incarnation: 1})
	}
	return b
}

func versionOf(i int) string { return string(rune('a' + i%2)) }

// Whatever cache events, late reports and signs of leaving come in any order, a
// request is placed only on an engine that holds its version, isn't leaving and
// wasn't tried, and never with a prefix of another account or version.
func TestPlacementKeepsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		const n = 6
		b := newBoard(n, 0, now)
		b.SetLinks([]placement.LinkSpec{{Store: "s", BytesPerSecond: 1e9}})
		leaving := map[int]time.Time{}
		chains := map[string][]prefix.Key{}
		for _, account := range []string{"x", "y"} {
			for _, version := range []string{"a", "b"} {
				chains[account+version] = prefix.Chain(nil, prefix.Seed(account, fakeModel, version), string(make([]byte, 3*fakePieceTokens*4)), fakePieceTokens)
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
				b.RecordCached(engineName(i), chain[key], removed)
				b.RecordStored("s", chain[key], removed)
				if !removed {
					cached[account+version] = true
				}
			case 1:
				// A report from before the sign of leaving.
				b.ApplyReport(now, engineName(i), placement.LoadReport{Running: 3, Versions: []string{versionOf(i)}, Incarnation: 1})
			case 2:
				b.MarkLeaving(now, engineName(i))
				leaving[i] = now
			case 3, 4:
				excluded := engineName(rapid.IntRange(0, n-1).Draw(t, "excluded"))
				req := &placement.Request{
					ID: "r", Account: account, Model: fakeModel, Version: version, PromptTokens: 4 * fakePieceTokens, AnswerTokens: 10,
					Chain: chain, Exclude: []string{excluded},
				}
				b.Place(now, req, &decision)
				checkPlaced(t, now, req, &decision, leaving, cached[account+version])
				if decision.Target != "" {
					ticket := b.Start(now, req, &decision)
					cached[account+version] = true
					b.Finish(now, &ticket)
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
		t.Fatalf("version %s was placed on %s", req.Version, d.Target)
	}
	if slices.Contains(req.Exclude, d.Target) {
		t.Fatalf("%s was tried already", d.Target)
	}
	if at, ok := leaving[number]; ok && now.Sub(at) <= 3*time.Second {
		t.Fatalf("%s got new work %s after its sign of leaving", d.Target, now.Sub(at))
	}
	if !seen && d.Source() != placement.SourceNone {
		t.Fatalf("a prefix of account %s, version %s was found that nobody had", req.Account, req.Version)
	}
}

// A new engine is filled gently, and an engine that restarted counts as new.
func TestNewEngineIsFilledGently(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBoard(1, 10*time.Second, now)
	place := func() bool {
		req := &placement.Request{ID: "r", Model: fakeModel, Version: "a", PromptTokens: 10, AnswerTokens: 10}
		var d placement.Decision
		b.Place(now, req, &d)
		if d.Target == "" {
			return false
		}
		b.Start(now, req, &d)
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
		t.Errorf("at once: got %d requests, want 1", got)
	}
	now = now.Add(5 * time.Second)
	if got := filled(); got != 1 {
		t.Errorf("after 5 s: got %d more requests, want 1 more of 2 in all", got)
	}
}

// Long requests never hold more than their part of an engine's slots, even
// when they are found to be long only while they run.
func TestLongSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBoard(1, 0, now)
	short := &placement.Request{ID: "r", Model: fakeModel, Version: "a", PromptTokens: 10, AnswerTokens: 10}
	long := &placement.Request{ID: "r", Model: fakeModel, Version: "a", PromptTokens: 10, AnswerTokens: 10_000, Long: true}
	var d placement.Decision
	b.Place(now, short, &d)
	ticket := b.Start(now, short, &d)
	b.MarkLong(&ticket)
	b.Place(now, long, &d)
	b.Start(now, long, &d)
	b.Place(now, long, &d)
	if d.Target != "" || d.Reason != placement.ReasonNoLongSlot {
		t.Errorf("got target %q, reason %s; want none for a third long request", d.Target, d.Reason)
	}
	b.Place(now, short, &d)
	if d.Target == "" {
		t.Error("a short request found no slot")
	}
}

// The death of a target is put down to the suspect that had no first token yet.
func TestBlame(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBoard(1, 0, now)
	var d placement.Decision
	suspect := &placement.Request{ID: "r", Model: fakeModel, Version: "a", PromptTokens: 10, AnswerTokens: 10, Suspect: true}
	b.Place(now, suspect, &d)
	ticket := b.Start(now, suspect, &d)
	if !b.CrashedBySuspect(now, d.Target) {
		t.Error("not blamed while it runs without a first token")
	}
	b.Finish(now, &ticket)
	if !b.CrashedBySuspect(now.Add(time.Second), engineName(0)) || b.CrashedBySuspect(now.Add(time.Minute), engineName(0)) {
		t.Error("want the blame to last a moment after its end")
	}
	later := now.Add(time.Minute)
	b.Place(later, suspect, &d)
	ticket = b.Start(later, suspect, &d)
	b.RecordFirstToken(later, &ticket)
	b.Finish(later, &ticket)
	if b.CrashedBySuspect(later, engineName(0)) {
		t.Error("blamed after its first token")
	}
}

// A host knows the memory of a target also where its own requests are unlike
// those of its peers, or where it runs none there.
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
			b := placement.NewPlacer(placement.Params{PreferredCount: 4, RandomCount: 4, BlockTokens: fakePieceTokens, IndexEntries: 1000, LongSlotPercent: 100, SlowRatio: 2, Seed: 3})
			b.SetEngines(now, []placement.EngineSpec{{Name: "e", Models: []string{fakeModel}, Slots: 64, PrefillRate: 1000, TokenGap: fakeGap, MemoryTokens: memory}})
			b.ApplyReport(now, "e", placement.LoadReport{Versions: []string{fakeVersion}, Incarnation: 1})
			req := placement.Request{ID: "own", Model: fakeModel, Version: fakeVersion, PromptTokens: test.own}
			var d placement.Decision
			if test.own > 0 {
				b.Place(now, &req, &d)
				b.Start(now, &req, &d)
			}
			b.SetPeerLoad(now, "e", placement.TargetLoad{Requests: test.peers, HeldTokens: float64(test.peerTokens)})
			req = placement.Request{ID: "next", Model: fakeModel, Version: fakeVersion, PromptTokens: 10_000, MaxMemoryShare: 0.85}
			b.Place(now, &req, &d)
			if (d.Target == "e") != test.fits {
				t.Errorf("got target %q (%s), want room: %v", d.Target, d.Reason, test.fits)
			}
		})
	}
}
