package lease_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasplank.example/sassafrasplank/internal/lease"
)

// A fixed seed makes every run check the properties with the same steps.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	ttl         = 2 * time.Second
	quietPeriod = 4 * time.Second
)

// row is the lease row. A write succeeds only at the expected version.
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
	return &lease.State{Host: host, Incarnation: incarnation, TTL: ttl, QuietPeriod: quietPeriod}
}

func writeLease(s *lease.State, r *row, now time.Time) bool {
	record, version := s.Next(nil, nil)
	if !r.write(record, version) {
		return false
	}
	s.Renewed(now, record, r.version)
	return true
}

func TestTakeoverWaitsForTTLAndQuietPeriod(t *testing.T) {
	r, now := &row{}, time.Unix(100, 0)
	a, b := newState("a", 1), newState("b", 1)
	a.Observe(now, lease.Record{}, 0)
	if !a.MayTake(now) || !writeLease(a, r, now) {
		t.Fatal("the first host can't take an absent lease")
	}
	b.Observe(now, r.record, r.version)
	if b.MayTake(now.Add(ttl + quietPeriod)) {
		t.Error("the second host takes over too early")
	}
	if a.Holds(now.Add(ttl), 0) {
		t.Error("the first host holds the lease after its TTL")
	}
	later := now.Add(ttl + quietPeriod + time.Millisecond)
	if !b.MayTake(later) || !writeLease(b, r, later) {
		t.Fatal("the second host doesn't take over")
	}
	if got, want := b.FencingToken(), a.FencingToken()+1; got != want {
		t.Errorf("got fencing token %d, want %d", got, want)
	}
	a.Observe(later, r.record, r.version)
	if a.Holds(later, 0) {
		t.Error("the first host still holds the lease after the second took it over")
	}
}

func TestRestartedHolderResumesWithHigherToken(t *testing.T) {
	r, now := &row{}, time.Unix(100, 0)
	a := newState("a", 1)
	a.Observe(now, lease.Record{}, 0)
	writeLease(a, r, now)
	restarted := newState("a", 2)
	restarted.Observe(now, r.record, r.version)
	if !restarted.MayTake(now) || !writeLease(restarted, r, now) || restarted.FencingToken() <= a.FencingToken() {
		t.Errorf("got fencing token %d after %d, want a higher one at once", restarted.FencingToken(), a.FencingToken())
	}
}

func TestUnknownWriteMustBeReadFirst(t *testing.T) {
	now := time.Unix(100, 0)
	a := newState("a", 1)
	a.Observe(now, lease.Record{}, 0)
	a.RowUnknown()
	if a.MayTake(now) {
		t.Error("a host may write again before it has read the outcome of its last write")
	}
}

func TestDecodeRejectsInvalidRows(t *testing.T) {
	for _, data := range []string{"", "{}", `{"holder":7}`, "not json"} {
		if _, err := lease.Decode([]byte(data)); err == nil {
			t.Errorf("Decode accepts %q", data)
		}
	}
}

// machine models three hosts with one lease row. They act, renew, read late, lose
// answers, are suspended and restart.
type machine struct {
	r            *row
	now          time.Time
	hosts        []*lease.State
	names        []string
	incarnations int64
	// lastAct, lastHolder and fencingToken are those of the last action of any host.
	lastAct      time.Time
	lastHolder   string
	fencingToken int64
}

// act performs an action of a host if it holds the lease, and checks the quiet period
// and the fencing token.
func (m *machine) act(t *rapid.T, i int) {
	s := m.hosts[i]
	if !s.Holds(m.now, 0) {
		return
	}
	if m.lastHolder != "" && m.lastHolder != m.names[i] && m.now.Sub(m.lastAct) < quietPeriod {
		t.Fatalf("%s acts %s after %s, want at least the quiet period between them", m.names[i], m.now.Sub(m.lastAct), m.lastHolder)
	}
	if s.FencingToken() < m.fencingToken {
		t.Fatalf("fencing token decreased to %d after %d", s.FencingToken(), m.fencingToken)
	}
	m.lastAct, m.lastHolder, m.fencingToken = m.now, m.names[i], s.FencingToken()
}

// Two hosts never act within the quiet period of each other, and fencing tokens never
// decrease.
func TestLeaseMachine(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{r: &row{}, now: time.Unix(1000, 0), names: []string{"a", "b", "c"}}
		for _, name := range m.names {
			m.incarnations++
			m.hosts = append(m.hosts, newState(name, m.incarnations))
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
					startedAt := m.now
					m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "call")) * time.Millisecond)
					writeLease(s, m.r, startedAt)
				}
			case "lost":
				if s.MayTake(m.now) {
					record, version := s.Next(nil, nil)
					m.r.write(record, version)
					s.RowUnknown()
				}
			case "act":
				m.act(t, i)
			case "restart":
				m.incarnations++
				m.hosts[i] = newState(m.names[i], m.incarnations)
			}
		}
	})
	if steps < 10_000 {
		t.Errorf("%d steps were checked, want at least 10,000", steps)
	}
}
