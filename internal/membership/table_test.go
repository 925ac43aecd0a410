package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/membership"
)

// ring is a set of tables that exchange messages directly.
type ring struct {
	now    time.Time
	rng    *rand.Rand
	tables []*membership.Table
	down   map[string]bool
	// parted tells which of two groups a member is in.
	parted map[string]int
}

func newRing(n int) *ring {
	r := &ring{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), down: map[string]bool{}, parted: map[string]int{}}
	for i := range n {
		r.tables = append(r.tables, newTable(i, 1))
	}
	for _, t := range r.tables {
		t.Merge(r.now, []membership.Member{r.tables[0].Self()})
	}
	return r
}

func newTable(i int, incarnation int64) *membership.Table {
	self := membership.Member{Name: fmt.Sprintf("host-%03d", i), URL: "http://x", Incarnation: incarnation}
	return membership.NewTable(self, membership.Params{SuspectAfter: 5 * time.Second, ForgetAfter: time.Minute, UpdatesPerMessage: 16})
}

func (r *ring) find(name string) *membership.Table {
	for _, t := range r.tables {
		if t.Self().Name == name {
			return t
		}
	}
	return nil
}

// round lets every host exchange with two partners, and returns the number of
// updates sent.
func (r *ring) round() int {
	r.now = r.now.Add(time.Second)
	sent := 0
	for _, t := range r.tables {
		name := t.Self().Name
		if r.down[name] {
			continue
		}
		t.Tick(r.now)
		for _, partner := range t.Partners(r.rng, 2) {
			if r.down[partner.Name] || r.parted[partner.Name] != r.parted[name] {
				t.Failed(r.now, partner.Name)
				continue
			}
			other := r.find(partner.Name)
			request := t.Updates(partner.Name)
			other.ReceivedFrom(r.now, t.Self())
			other.Merge(r.now, request)
			answer := other.Updates(name)
			t.ReceivedFrom(r.now, other.Self())
			t.Merge(r.now, answer)
			sent += len(request) + len(answer) + 2
		}
	}
	return sent
}

// roundsUntil counts rounds until the condition holds, at most limit.
func (r *ring) roundsUntil(limit int, holds func() bool) int {
	for n := range limit {
		if holds() {
			return n
		}
		r.round()
	}
	return limit
}

func (r *ring) allSee(live int) bool {
	for _, t := range r.tables {
		if !r.down[t.Self().Name] && t.AliveCount() != live {
			return false
		}
	}
	return true
}

func TestJoinDeathAndReturn(t *testing.T) {
	for _, n := range []int{3, 9, 27, 81} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := newRing(n)
			const limit = 60
			joined := r.roundsUntil(limit, func() bool { return r.allSee(n) })
			r.down["host-001"] = true
			dead := r.roundsUntil(limit, func() bool { return r.allSee(n - 1) })
			// The paused host wakes up and contradicts.
			r.down["host-001"] = false
			back := r.roundsUntil(limit, func() bool { return r.allSee(n) })
			t.Logf("rounds: joined %d, seen dead %d, back %d", joined, dead, back)
			if joined == limit || dead == limit || back == limit {
				t.Error("the hosts did not agree")
			}
			if r.find("host-001").Self().Refutation == 0 {
				t.Error("the paused host did not contradict its death")
			}
		})
	}
}

func TestRestartIsNotTakenForFormerSelf(t *testing.T) {
	r := newRing(9)
	r.roundsUntil(60, func() bool { return r.allSee(9) })
	r.tables[1] = newTable(1, 2)
	r.tables[1].Merge(r.now, []membership.Member{r.tables[0].Self()})
	for range 20 {
		r.round()
	}
	// An old update about the former life changes nothing.
	r.tables[0].Merge(r.now, []membership.Member{{Name: "host-001", Incarnation: 1, Refutation: 9, Status: membership.Dead}})
	got, _ := r.tables[0].Get("host-001")
	if got.Incarnation != 2 || got.Status != membership.Alive {
		t.Errorf("got %+v, want incarnation 2 alive", got)
	}
}

func TestPartingHealsAndLeavingIsFinal(t *testing.T) {
	r := newRing(9)
	r.roundsUntil(60, func() bool { return r.allSee(9) })
	for i := range 4 {
		r.parted[fmt.Sprintf("host-%03d", i)] = 1
	}
	for range 15 {
		r.round()
	}
	if got := r.tables[0].AliveCount(); got != 4 {
		t.Errorf("the smaller part sees %d live hosts, want 4", got)
	}
	if got := r.tables[8].AliveCount(); got != 5 {
		t.Errorf("the larger part sees %d live hosts, want 5", got)
	}
	r.parted = map[string]int{}
	if n := r.roundsUntil(60, func() bool { return r.allSee(9) }); n == 60 {
		t.Error("the parts did not heal")
	}
	r.tables[2].Leave()
	r.roundsUntil(60, func() bool { return r.tables[0].AliveCount() == 8 })
	r.down["host-002"] = true
	if got, _ := r.tables[0].Get("host-002"); got.Status != membership.Left {
		t.Errorf("got status %s, want left", got.Status)
	}
}

// BenchmarkUpdates gives the updates that one host sends and receives a
// second while one host in a hundred restarts each minute.
func BenchmarkUpdates(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			r := newRing(n)
			r.roundsUntil(60, func() bool { return r.allSee(n) })
			for range 60 {
				r.round()
			}
			sent := 0
			b.ResetTimer()
			for range b.N {
				sent += r.round()
			}
			b.ReportMetric(2*float64(sent)/float64(b.N*n), "updates/host-s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/host-s")
		})
	}
}
