package placement_test

import (
	"fmt"
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/placement"
)

// Hosts together must place no more on a restricted target than it has room for, and little less.
func TestHostsTogetherKeepWithinRoomOfRestrictedTarget(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		hosts, slots, memory, prompt int
	}{
		{1, 6, 0, 1},
		{4, 4, 0, 1},
		{9, 6, 0, 1},
		{9, 128, 0, 1},
		{9, 128, 250_000, 12_000},
		{65, 32, 190_000, 12_000},
		{295, 16, 117_000, 2_000},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d slots, %d tokens", c.hosts, c.slots, c.memory), func(t *testing.T) {
			t.Parallel()
			now := time.Now()
			placers := make([]*placement.Placer, c.hosts)
			placed := make([]int, c.hosts)
			for i := range placers {
				p := placement.NewPlacer(placement.Params{PreferredCount: 8, RandomCount: 8, IndexEntries: 10, LongSlotPercent: 100, SlowRatio: 1000, ProbeEvery: time.Hour, Seed: 1})
				p.SetEngines(now, []placement.EngineSpec{{Name: "e", Models: []string{fakeModel}, Slots: c.slots, MemoryTokens: c.memory, PrefillRate: 60_000}})
				p.ApplyReport(now, "e", placement.LoadReport{Versions: []string{"plain"}, Incarnation: 1})
				p.Restrict("e", &placement.Restriction{Hosts: c.hosts, Rank: i})
				placers[i] = p
			}
			total := 0
			for range 2 * c.slots {
				for i, p := range placers {
					others := total - placed[i]
					p.SetPeerLoad(now, "e", placement.TargetLoad{Target: "e", Requests: others, HeldTokens: float64(others * c.prompt)})
					var d placement.Decision
					req := &placement.Request{ID: "r", Model: fakeModel, Version: "plain", PromptTokens: c.prompt}
					if p.Place(now, req, &d); d.Target == "" {
						continue
					}
					p.Start(now, req, &d)
					placed[i]++
					total++
				}
			}
			room := c.slots
			if c.memory > 0 {
				room = min(room, c.memory/c.prompt)
			}
			if least := int(0.8 * float64(room)); total > room || total < least {
				t.Errorf("%d requests of %d tokens were placed, want %d to %d", total, c.prompt, least, room)
			}
		})
	}
}
