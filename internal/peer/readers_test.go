package peer

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/membership"
)

// newReaderGroup returns a host among n others, which are alive.
func newReaderGroup(n int, now *clock.Fake) *Group {
	g := &Group{
		Self: membership.Member{Name: "self", Incarnation: 1}, Clock: now, Readers: 3, AskReaderAfter: time.Second,
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, HTTP: http.DefaultClient,
	}
	g.Init()
	for i := range n {
		g.members.Merge(now.Now(), []membership.Member{{Name: fmt.Sprint("host-", i), Incarnation: 1}})
	}
	return g
}

// While the table service is away, no reader has news. Hosts that asked the readers in each round
// would overload them.
func TestReadersAreNotAskedInEachRound(t *testing.T) {
	now := &clock.Fake{}
	now.Advance(time.Hour)
	g := newReaderGroup(72, now)
	asked := map[string]int{}
	const rounds = 100
	for range rounds {
		partners := g.partners(1)
		for _, m := range partners[1:] {
			asked[m.Name]++
		}
		now.Advance(100 * time.Millisecond)
	}
	total := 0
	for _, n := range asked {
		total += n
	}
	if want := rounds / 10; total != want || len(asked) > g.Readers {
		t.Errorf("asked %v in %d rounds of 100 ms, want %d exchanges with at most %d readers", asked, rounds, want, g.Readers)
	}
	g.contactAt = now.Now()
	if partners := g.partners(1); len(partners) != 1 {
		t.Errorf("with recent news: got %d partners, want 1", len(partners))
	}
}

// A host that leaves a group of which it knows no live member has nobody to ask.
func TestHostThatLeavesAloneAsksNobody(t *testing.T) {
	now := &clock.Fake{}
	now.Advance(time.Hour)
	g := newReaderGroup(0, now)
	g.members.Leave()
	if partners := g.partners(1); len(partners) > 0 {
		t.Errorf("got partners %v, want none", partners)
	}
}

// When all readers are lost, the hosts that read the tables in their place must not all do so at once,
// but each within half a second.
func TestHostsReplaceLostReadersInTurn(t *testing.T) {
	const maxAge = 1500 * time.Millisecond
	now := &clock.Fake{}
	now.Advance(time.Hour)
	due := map[time.Duration]int{}
	for i := range 73 {
		g := newReaderGroup(0, now)
		for j := range i {
			// The hosts with the highest hashes come first, so this host has the rank i.
			g.members.Merge(now.Now(), []membership.Member{{Name: higherName(j), Incarnation: 1}})
		}
		if g.ReaderRank() != i {
			t.Fatalf("got rank %d, want %d", g.ReaderRank(), i)
		}
		for age := time.Duration(0); age <= maxAge+time.Second; age += 50 * time.Millisecond {
			if g.ReadDue(g.Readers, age, 0, maxAge) {
				due[age]++
				break
			}
		}
	}
	sum := 0
	for age := maxAge; age <= maxAge+500*time.Millisecond; age += 50 * time.Millisecond {
		if sum += due[age]; age < maxAge+200*time.Millisecond && sum > 73/2 {
			t.Errorf("%d of 73 hosts read the tables %v after the last contact, want at most half", sum, age)
		}
	}
	if sum != 73 {
		t.Errorf("%d of 73 hosts read the tables by themselves within 0.5 s after %v: %v", sum, maxAge, due)
	}
}

// higherName returns the n-th name with a higher hash than "self" as a reader.
func higherName(n int) string {
	for i := 0; ; i++ {
		table := membership.NewTable(membership.Member{Name: "self"}, membership.Params{})
		name := fmt.Sprint("peer-", i)
		table.Merge(time.Time{}, []membership.Member{{Name: name, Incarnation: 1}})
		if table.Rank(tableReaders) == 0 {
			continue
		}
		if n == 0 {
			return name
		}
		n--
	}
}
