package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/placement"
)

// The load that this play answers: long and short prompts in clumps that nearly
// fill the memory of nine engines, and nine hosts that hear of each other's
// placements a fifth of a second late. A request that finds no room is refused.
const (
	roomTokens    = 16_000
	roomSlots     = 64
	roomShare     = 1.05
	roomTellEvery = 200 * time.Millisecond
	largePrompt   = 6000
	smallPrompt   = 500
	roomAnswer    = 60
	largeGoal     = 1500 * time.Millisecond
	smallGoal     = 400 * time.Millisecond
	roomFrom      = 10 * time.Second
	roomEnd       = 190 * time.Second
)

// roomHosts are hosts that place by views of their own and refuse by memory.
type roomHosts struct {
	w      *world
	boards []*placement.Placer
	next   int
	// told is whether hosts tell each other the tokens that their requests hold.
	told bool
	// refused counts the refusals of each host.
	refused []int
}

func newRoomHosts(w *world, told bool) *roomHosts {
	h := &roomHosts{w: w, told: told, refused: make([]int, fleetHosts)}
	for i := range fleetHosts {
		b := placement.NewPlacer(placement.Params{
			PreferredCount: 8, RandomCount: 8, BlockTokens: fakePieceTokens, IndexEntries: 1000, LongSlotPercent: 100, SlowRatio: 2, Seed: uint64(i + 1),
		})
		var specs []placement.EngineSpec
		for i, e := range w.engines {
			specs = append(specs, placement.EngineSpec{
				Name: engineName(i), Models: []string{fakeModel}, Slots: e.slots, PrefillRate: e.rate, TokenGap: e.gap, MemoryTokens: e.memory,
			})
		}
		b.SetEngines(w.clock.now, specs)
		for i := range w.engines {
			b.ApplyReport(w.clock.now, engineName(i), placement.LoadReport{Versions: []string{fakeVersion}, Incarnation: 1})
		}
		h.boards = append(h.boards, b)
	}
	h.tell()
	return h
}

func (h *roomHosts) tell() {
	now := h.w.clock.now
	for listener, b := range h.boards {
		sums := map[string]placement.TargetLoad{}
		for i, other := range h.boards {
			if i == listener {
				continue
			}
			for _, load := range other.Loads(now, len(h.w.engines)) {
				sum := sums[load.Target]
				sum.Requests += load.Requests
				sum.PrefillTokens += load.PrefillTokens
				if h.told {
					sum.HeldTokens += load.HeldTokens
				}
				sums[load.Target] = sum
			}
		}
		for i := range h.w.engines {
			b.SetPeerLoad(now, engineName(i), sums[engineName(i)])
		}
	}
	h.w.clock.after(roomTellEvery, h.tell)
}

func (h *roomHosts) arrive(a *arrival, res *result) {
	h.next = (h.next + 1) % len(h.boards)
	host := h.next
	b := h.boards[host]
	req := placement.Request{
		ID: a.account, Model: fakeModel, Version: fakeVersion, PromptTokens: a.prompt, AnswerTokens: a.answer, MaxMemoryShare: roomShare,
	}
	var d placement.Decision
	b.Place(h.w.clock.now, &req, &d)
	if d.Target == "" {
		res.refused = true
		h.refused[host]++
		return
	}
	ticket := b.Start(h.w.clock.now, &req, &d)
	r := &fakeRun{prompt: a.prompt, answer: a.answer, gap: func() {}}
	r.first = func() {
		b.RecordFirstToken(h.w.clock.now, &ticket)
		h.w.count(res, r)
	}
	r.done = func() {
		b.Finish(h.w.clock.now, &ticket)
		res.answered = true
	}
	var number int
	_, _ = fmt.Sscanf(d.Target, "engine-%d", &number)
	h.w.engines[number-1].submit(r)
}

// roomArrivals come in clumps of three.
func roomArrivals(rate float64) []*arrival {
	rng := seededRand(600)
	var arrivals []*arrival
	for at := 0.0; at < roomEnd.Seconds(); at += 3 * rng.ExpFloat64() / rate {
		for range 3 {
			a := &arrival{at: seconds(at), account: "account", prompt: smallPrompt, answer: roomAnswer, deadline: smallGoal}
			if rng.Float64() < 0.3 {
				a.prompt, a.deadline = largePrompt, largeGoal
			}
			arrivals = append(arrivals, a)
		}
	}
	return arrivals
}

// roomFigures are shares of the requests.
type roomFigures struct {
	inGoal, late, refused float64
	// uneven is the largest part of all refusals that one host gave, as a multiple
	// of an even part.
	uneven float64
}

func playRoom(d deployment, rate float64, told bool) roomFigures {
	w := newWorld(d, 1)
	for _, e := range w.engines {
		e.memory, e.slots = roomTokens, roomSlots
	}
	h := newRoomHosts(w, told)
	w.run(h, roomArrivals(rate), roomEnd+time.Minute)
	var f roomFigures
	n := 0.0
	for _, r := range w.results {
		if r.arrival.at < roomFrom {
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
	f.uneven = float64(most*len(h.refused)) / math.Max(1, float64(all))
	f.inGoal, f.late, f.refused = f.inGoal/n, f.late/n, f.refused/n
	return f
}

// Callers get more answers in time where hosts tell what their requests hold.
func TestToldMemoryServesCallers(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{30, 36} {
		for _, d := range deployments {
			with, without := playRoom(d, rate, true), playRoom(d, rate, false)
			t.Logf("%s at %.0f a second: told %+v, not told %+v", d.name, rate, with, without)
			if with.inGoal <= without.inGoal {
				t.Errorf("%s at %.0f a second: %.3f in time where it is told, %.3f where it isn't", d.name, rate, with.inGoal, without.inGoal)
			}
		}
	}
}
