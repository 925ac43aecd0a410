package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/membership"
)

// cluster simulates hosts whose tables exchange messages directly.
type cluster struct {
	now    time.Time
	rng    *rand.Rand
	tables []*membership.Table
	down   map[string]bool
	// partition is the network partition of a member; only members of the same
	// partition reach each other.
	partition map[string]int
}

func newCluster(n int) *cluster {
	r := &cluster{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), down: map[string]bool{}, partition: map[string]int{}}
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
	return membership.NewTable(self, membership.Params{SuspicionTimeout: 5 * time.Second, ForgetAfter: time.Minute, UpdatesPerMessage: 16})
}

func (r *cluster) find(name string) *membership.Table {
	for _, t := range r.tables {
		if t.Self().Name == name {
			return t
		}
	}
	return nil
}

// round exchanges messages between every host and two partners, and returns the
// number of updates sent.
func (r *cluster) round() int {
	r.now = r.now.Add(time.Second)
	sent := 0
	for _, t := range r.tables {
		name := t.Self().Name
		if r.down[name] {
			continue
		}
		t.Tick(r.now)
		for _, partner := range t.Partners(r.rng, 2) {
			if r.down[partner.Name] || r.partition[partner.Name] != r.partition[name] {
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

// roundsUntil runs rounds until the condition is met, at most limit, and returns
// their number.
func (r *cluster) roundsUntil(limit int, condition func() bool) int {
	for n := range limit {
		if condition() {
			return n
		}
		r.round()
	}
	return limit
}

func (r *cluster) allCountAlive(want int) bool {
	for _, t := range r.tables {
		if !r.down[t.Self().Name] && t.AliveCount() != want {
			return false
		}
	}
	return true
}

func TestJoinDeathAndRefutation(t *testing.T) {
	for _, n := range []int{3, 9, 27, 81} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := newCluster(n)
			const limit = 60
			joined := r.roundsUntil(limit, func() bool { return r.allCountAlive(n) })
			r.down["host-001"] = true
			dead := r.roundsUntil(limit, func() bool { return r.allCountAlive(n - 1) })
			// The paused host continues and refutes its death.
			r.down["host-001"] = false
			returned := r.roundsUntil(limit, func() bool { return r.allCountAlive(n) })
			t.Logf("rounds: %d until all joined, %d until the death was known, %d until it was refuted", joined, dead, returned)
			if joined == limit || dead == limit || returned == limit {
				t.Error("the hosts did not agree on the members within 60 rounds")
			}
			if r.find("host-001").Self().Refutation == 0 {
				t.Error("the paused host did not refute its death")
			}
		})
	}
}

func TestRestartReplacesEarlierIncarnation(t *testing.T) {
	r := newCluster(9)
	r.roundsUntil(60, func() bool { return r.allCountAlive(9) })
	r.tables[1] = newTable(1, 2)
	r.tables[1].Merge(r.now, []membership.Member{r.tables[0].Self()})
	for range 20 {
		r.round()
	}
	// A late update about the earlier incarnation has no effect.
	r.tables[0].Merge(r.now, []membership.Member{{Name: "host-001", Incarnation: 1, Refutation: 9, Status: membership.Dead}})
	got, _ := r.tables[0].Get("host-001")
	if got.Incarnation != 2 || got.Status != membership.Alive {
		t.Errorf("got %+v, want incarnation 2 alive", got)
	}
}

func TestPartitionHealsAndLeaveIsFinal(t *testing.T) {
	r := newCluster(9)
	r.roundsUntil(60, func() bool { return r.allCountAlive(9) })
	for i := range 4 {
		r.partition[fmt.Sprintf("host-%03d", i)] = 1
	}
	for range 15 {
		r.round()
	}
	if got := r.tables[0].AliveCount(); got != 4 {
		t.Errorf("the smaller partition counts %d alive hosts, want 4", got)
	}
	if got := r.tables[8].AliveCount(); got != 5 {
		t.Errorf("the larger partition counts %d alive hosts, want 5", got)
	}
	r.partition = map[string]int{}
	if n := r.roundsUntil(60, func() bool { return r.allCountAlive(9) }); n == 60 {
		t.Error("the hosts did not agree on 9 alive hosts within 60 rounds after the partition healed")
	}
	r.tables[2].Leave()
	r.roundsUntil(60, func() bool { return r.tables[0].AliveCount() == 8 })
	r.down["host-002"] = true
	if got, _ := r.tables[0].Get("host-002"); got.Status != membership.Left {
		t.Errorf("got status %s, want left", got.Status)
	}
}

// BenchmarkUpdates measures the updates that one host sends and receives per
// second in a group without changes.
func BenchmarkUpdates(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			r := newCluster(n)
			r.roundsUntil(60, func() bool { return r.allCountAlive(n) })
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

// Hosts ask these questions for each target or several times a second.
func TestQuestionsCostTheSameWithManyMembers(t *testing.T) {
	const calls = 20_000
	for name, ask := range map[string]func(table *membership.Table){
		"AliveCount":  func(table *membership.Table) { table.AliveCount() },
		"ListedCount": func(table *membership.Table) { table.ListedCount() },
		"Rank":        func(table *membership.Table) { table.Rank("tables") },
		"Owners":      func(table *membership.Table) { table.Owners("cache", 6) },
		"Tick":        func(table *membership.Table) { table.Tick(time.Time{}) },
		"Updates":     func(table *membership.Table) { table.Updates("1") },
	} {
		t.Run(name, func(t *testing.T) {
			measure := func(members int) time.Duration {
				table := newTable(0, 1)
				for i := range members {
					table.Merge(time.Time{}, []membership.Member{{Name: fmt.Sprint(i), Incarnation: 1}})
				}
				best := time.Hour
				for range 3 {
					began := time.Now()
					for range calls {
						ask(table)
					}
					best = min(best, time.Since(began))
				}
				return best
			}
			if few, many := measure(10), measure(1000); many > 10*few+10*time.Millisecond {
				t.Errorf("%d calls take %s with 10 members and %s with 1,000, want about the same", calls, few, many)
			}
		})
	}
}

// What is kept of the members must follow each change of them.
func TestAnswersFollowChangesOfMembers(t *testing.T) {
	table := newTable(0, 1)
	now := time.Unix(1000, 0)
	table.Merge(now, []membership.Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}})
	check := func(what string, alive int, names ...string) {
		t.Helper()
		owners := slices.Sorted(slices.Values(table.Owners("x", 10)))
		if diff := cmp.Diff(names, owners); diff != "" || table.AliveCount() != alive {
			t.Errorf("%s: %d alive, want %d; owners (-want +got):\n%s", what, table.AliveCount(), alive, diff)
		}
		if rank, owners := table.Rank("x"), table.Owners("x", 10); slices.Contains(owners, "host-000") && owners[rank] != "host-000" {
			t.Errorf("%s: rank %d, owners %v", what, rank, owners)
		}
	}
	check("joined", 3, "a", "b", "host-000")
	table.Failed(now, "a")
	check("failed", 2, "b", "host-000")
	table.Merge(now, []membership.Member{{Name: "a", Incarnation: 1, Refutation: 1}})
	check("refuted", 3, "a", "b", "host-000")
	table.Failed(now, "b")
	table.Tick(now.Add(time.Hour))
	table.Tick(now.Add(2 * time.Hour))
	check("forgotten", 2, "a", "host-000")
	table.Leave()
	check("left", 2, "a")
}

// A host of an earlier build passes on members without their build, before and after others do.
func TestBuildIsKeptWhenEarlierBuildPassesMemberOn(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable(0, 1)
	want := membership.Member{Name: "host-001", URL: "http://x", Incarnation: 5, Status: membership.Suspect, Build: "v1", Protocol: 1}
	without, alive := want, want
	without.Build, without.Protocol, alive.Status = "", 0, membership.Alive
	withoutAlive := without
	withoutAlive.Status = membership.Alive
	for _, update := range []membership.Member{withoutAlive, alive, without, withoutAlive} {
		table.Merge(now, []membership.Member{update})
	}
	got, _ := table.Get("host-001")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("member (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]membership.Member{want}, table.Updates("host-002")); diff != "" {
		t.Errorf("updates (-want +got):\n%s", diff)
	}
	want = membership.Member{Name: "host-001", URL: "http://x", Incarnation: 6}
	table.Merge(now, []membership.Member{want})
	got, _ = table.Get("host-001")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("member that came back as an earlier build (-want +got):\n%s", diff)
	}
}
