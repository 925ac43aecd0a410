package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/placement"
)

// The workload of this simulation: bursts of large and small prompts that nearly
// fill the memory of the smaller deployment, which has nine engines. Nine hosts
// report their placements to each other every 0.2 s. A request without a target
// that has enough memory is refused.
const (
	memoryTokens         = 16_000
	memorySlots          = 64
	memoryShare          = 1.05
	memoryReportInterval = 200 * time.Millisecond
	largePrompt          = 6000
	smallPrompt          = 500
	memoryAnswer         = 60
	largeGoal            = 1500 * time.Millisecond
	smallGoal            = 400 * time.Millisecond
	memoryFrom           = 10 * time.Second
	memoryEnd            = 190 * time.Second
)

// memoryHosts is a group of hosts. Each host places requests by its own view of
// the engines and refuses those that exceed their memory.
type memoryHosts struct {
	sim     *simulation
	placers []*placement.Placer
	next    int
	// reportHeld is whether hosts report the tokens held by their requests.
	reportHeld bool
	// refused is the number of refusals by host.
	refused []int
}

func newMemoryHosts(sim *simulation, reportHeld bool) *memoryHosts {
	h := &memoryHosts{sim: sim, reportHeld: reportHeld, refused: make([]int, fleetHosts)}
	for i := range fleetHosts {
		p := placement.NewPlacer(placement.Params{
			PreferredCount: 8, RandomCount: 8, BlockTokens: fakeBlockTokens, IndexEntries: 1000, LongSlotPercent: 100, SlowRatio: 2, Seed: uint64(i + 1),
		})
		var specs []placement.EngineSpec
		for i, e := range sim.engines {
			specs = append(specs, placement.EngineSpec{
				Name: engineName(i), Models: []string{fakeModel}, Slots: e.slots, PrefillRate: e.rate, TokenGap: e.gap, MemoryTokens: e.memory,
			})
		}
		p.SetEngines(sim.clock.now, specs)
		for i := range sim.engines {
			p.ApplyReport(sim.clock.now, engineName(i), placement.LoadReport{Versions: []string{fakeVersion}, Incarnation: 1})
		}
		h.placers = append(h.placers, p)
	}
	h.exchangeLoads()
	return h
}

func (h *memoryHosts) exchangeLoads() {
	now := h.sim.clock.now
	for receiver, p := range h.placers {
		sums := map[string]placement.TargetLoad{}
		for i, other := range h.placers {
			if i == receiver {
				continue
			}
			for _, load := range other.Loads(now, len(h.sim.engines)) {
				sum := sums[load.Target]
				sum.Requests += load.Requests
				sum.PrefillTokens += load.PrefillTokens
				if h.reportHeld {
					sum.HeldTokens += load.HeldTokens
				}
				sums[load.Target] = sum
			}
		}
		for i := range h.sim.engines {
			p.SetPeerLoad(now, engineName(i), sums[engineName(i)])
		}
	}
	h.sim.clock.after(memoryReportInterval, h.exchangeLoads)
}

func (h *memoryHosts) arrive(a *arrival, res *result) {
	h.next = (h.next + 1) % len(h.placers)
	host := h.next
	p := h.placers[host]
	req := placement.Request{
		ID: a.account, Model: fakeModel, Version: fakeVersion, PromptTokens: a.prompt, AnswerTokens: a.answer, MaxMemoryShare: memoryShare,
	}
	var d placement.Decision
	p.Place(h.sim.clock.now, &req, &d)
	if d.Target == "" {
		res.refused = true
		h.refused[host]++
		return
	}
	ticket := p.Start(h.sim.clock.now, &req, &d)
	r := &fakeRun{prompt: a.prompt, answer: a.answer, onTokens: func() {}}
	r.onFirstToken = func() {
		p.RecordFirstToken(h.sim.clock.now, &ticket)
		h.sim.recordFirst(res, r)
	}
	r.onDone = func() {
		p.Finish(h.sim.clock.now, &ticket)
		res.answered = true
	}
	var number int
	_, _ = fmt.Sscanf(d.Target, "engine-%d", &number)
	h.sim.engines[number-1].submit(r)
}

// memoryArrivals returns rate arrivals per second on average, in bursts of three.
func memoryArrivals(rate float64) []*arrival {
	rng := seededRand(600)
	var arrivals []*arrival
	for at := 0.0; at < memoryEnd.Seconds(); at += 3 * rng.ExpFloat64() / rate {
		for range 3 {
			a := &arrival{at: seconds(at), account: "account", prompt: smallPrompt, answer: memoryAnswer, deadline: smallGoal}
			if rng.Float64() < 0.3 {
				a.prompt, a.deadline = largePrompt, largeGoal
			}
			arrivals = append(arrivals, a)
		}
	}
	return arrivals
}

// memoryFigures holds shares of the requests: first token within the goal, first
// token after it, and refused.
type memoryFigures struct {
	inGoal, late, refused float64
	// imbalance is the largest share of the refusals by one host, as a multiple of
	// an equal share.
	imbalance float64
}

func simulateMemory(d deployment, rate float64, reportHeld bool) memoryFigures {
	sim := newSimulation(d, 1)
	for _, e := range sim.engines {
		e.memory, e.slots = memoryTokens, memorySlots
	}
	h := newMemoryHosts(sim, reportHeld)
	sim.run(h, memoryArrivals(rate), memoryEnd+time.Minute)
	var f memoryFigures
	n := 0.0
	for _, r := range sim.results {
		if r.arrival.at < memoryFrom {
			continue
		}
		n++
		switch {
		case r.refused:
			f.refused++
		case r.first <= r.arrival.deadline:
			f.inGoal++
		default:
			f.late++
		}
	}
	most, all := 0, 0
	for _, refused := range h.refused {
		most = max(most, refused)
		all += refused
	}
	f.imbalance = float64(most*len(h.refused)) / math.Max(1, float64(all))
	f.inGoal, f.late, f.refused = f.inGoal/n, f.late/n, f.refused/n
	return f
}

// Callers get more answers in time if hosts report the tokens that their requests
// hold. A host without these reports takes the requests of its peers to be as
// large as its own. It therefore overloads engines or refuses requests that they
// could run.
func TestReportedMemoryUseServesCallers(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{30, 36} {
		for _, d := range deployments {
			with, without := simulateMemory(d, rate, true), simulateMemory(d, rate, false)
			t.Logf("%s at %.0f a second: reported %+v, not reported %+v", d.name, rate, with, without)
			if with.inGoal <= without.inGoal {
				t.Errorf("%s at %.0f a second: share in time is %.3f if held tokens are reported, %.3f if not; want a higher one if reported", d.name, rate, with.inGoal, without.inGoal)
			}
		}
	}
}
