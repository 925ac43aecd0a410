package lease_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasplank.example/sassafrasplank/internal/lease"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	lasts = 2 * time.Second
	quiet = 4 * time.Second
)

// row is the row of the lease, written under a condition.
type row struct {
	record  lease.Record
	version int64
}

func (r *row) write(record lease.Record, version int64) bool {
	if r.version != version {
		return false
	}
	r.record, r.version = record, r.version+1
	return true
}

func newState(host string, incarnation int64) *lease.State {
	return &lease.State{Host: host, Incarnation: incarnation, TTL: lasts, Margin: quiet}
}

func take(s *lease.State, r *row, now time.Time) bool {
	record, version := s.Next(nil, nil)
	if !r.write(record, version) {
		return false
	}
	s.Renewed(now, record, r.version)
	return true
}

func TestSecondHostWaitsUntilTheFirstHasStopped(t *testing.T) {
	r, now := &row{}, time.Unix(100, 0)
	a, b := newState("a", 1), newState("b", 1)
	a.Observe(now, lease.Record{}, 0)
	if !a.MayTake(now) || !take(a, r, now) {
		t.Fatal("the first host can't take an absent lease")
	}
	b.Observe(now, r.record, r.version)
	if b.MayTake(now.Add(lasts + quiet)) {
		t.Error("the second host takes over too early")
	}
	if a.Holds(now.Add(lasts), 0) {
		t.Error("the first host acts on after its lease")
	}
	later := now.Add(lasts + quiet + time.Millisecond)
	if !b.MayTake(later) || !take(b, r, later) {
		t.Fatal("the second host doesn't take over")
	}
	if got, want := b.FencingToken(), a.FencingToken()+1; got != want {
		t.Errorf("got fence %d, want %d", got, want)
	}
	a.Observe(later, r.record, r.version)
	if a.Holds(later, 0) {
		t.Error("the first host still holds what the second took")
	}
}

func TestSameHostResumesAtOnceWithAHigherFence(t *testing.T) {
	r, now := &row{}, time.Unix(100, 0)
	a := newState("a", 1)
	a.Observe(now, lease.Record{}, 0)
	take(a, r, now)
	restarted := newState("a", 2)
	restarted.Observe(now, r.record, r.version)
	if !restarted.MayTake(now) || !take(restarted, r, now) || restarted.FencingToken() <= a.FencingToken() {
		t.Errorf("got fence %d after %d, want a higher one at once", restarted.FencingToken(), a.FencingToken())
	}
}

func TestNothingIsBuiltOnALostAnswer(t *testing.T) {
	now := time.Unix(100, 0)
	a := newState("a", 1)
	a.Observe(now, lease.Record{}, 0)
	a.Unknown()
	if a.MayTake(now) {
		t.Error("a host writes again without reading what became of its write")
	}
}

func TestDecodeRefusesForeignRows(t *testing.T) {
	for _, data := range []string{"", "{}", `{"holder":7}`, "not json"} {
		if _, err := lease.Decode([]byte(data)); err == nil {
			t.Errorf("%q is taken for a lease", data)
		}
	}
}

// machine is three hosts that act, renew, read late, lose answers, are
// suspended and start again, over one row.
type machine struct {
	r     *row
	now   time.Time
	hosts []*lease.State
	names []string
	lives int64
	// lastAct, lastName and fence are those of the last act of any host.
	lastAct  time.Time
	lastName string
	fence    int64
}

// act lets a host act if it may, and checks that this is safe.
func (m *machine) act(t *rapid.T, i int) {
	s := m.hosts[i]
	if !s.Holds(m.now, 0) {
		return
	}
	if m.lastName != "" && m.lastName != m.names[i] && m.now.Sub(m.lastAct) < quiet {
		t.Fatalf("%s acts %s after %s", m.names[i], m.now.Sub(m.lastAct), m.lastName)
	}
	if s.FencingToken() < m.fence {
		t.Fatalf("fence %d after %d", s.FencingToken(), m.fence)
	}
	m.lastAct, m.lastName, m.fence = m.now, m.names[i], s.FencingToken()
}

// At no time do two hosts act within the quiet time of each other, and fences
// never fall.
func TestLeaseMachine(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{r: &row{}, now: time.Unix(1000, 0), names: []string{"a", "b", "c"}}
		for _, name := range m.names {
			m.lives++
			m.hosts = append(m.hosts, newState(name, m.lives))
		}
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			steps++
			i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
			s := m.hosts[i]
			switch rapid.SampledFrom([]string{"time", "read", "take", "lost", "act", "restart"}).Draw(t, "step") {
			case "time":
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			case "read":
				s.Observe(m.now, m.r.record, m.r.version)
			case "take":
				if s.MayTake(m.now) || s.Holds(m.now, 0) {
					begun := m.now
					m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "call")) * time.Millisecond)
					take(s, m.r, begun)
				}
			case "lost":
				if s.MayTake(m.now) {
					record, version := s.Next(nil, nil)
					m.r.write(record, version)
					s.Unknown()
				}
			case "act":
				m.act(t, i)
			case "restart":
				m.lives++
				m.hosts[i] = newState(m.names[i], m.lives)
			}
		}
	})
	if steps < 10_000 {
		t.Errorf("%d steps, want 10,000", steps)
	}
}
