package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/peer"
)

// leave ends a host, which others take for gone at once.
func (m *mixedHosts) leave(name string) {
	m.cancels[name]()
	m.group.mu.Lock()
	m.group.down[name] = true
	m.group.mu.Unlock()
	m.shared.Lock()
	clear(m.watchers)
	m.shared.Unlock()
}

// A host that polled a group in the place of one that had left held only later events.
func TestHostsLearnOfCachesAfterOthersLeft(t *testing.T) {
	for _, c := range []struct {
		commit                                string
		groupSources, hosts, earlier, engines int
	}{
		{"present", groupSources130c3ba, 30, 0, 60},
		{"871c8b2", groupSources130c3ba, 30, 15, 60}, // It has the groups of 130c3ba up to 128 sources.
		{"b775ee5", groupSourcesB775ee5, 30, 15, 130},
		{"130c3ba", groupSources130c3ba, 30, 15, 130},
	} {
		t.Run(fmt.Sprintf("%s/%dEngines", c.commit, c.engines), func(t *testing.T) {
			runMixedHosts(t, c.hosts, c.earlier, c.engines, c.groupSources, func(t *testing.T, m *mixedHosts) {
				m.cachePart("before")
				time.Sleep(15 * time.Second)
				rng, parts := rand.New(rand.NewPCG(1, 2)), 0
				for i := range 6 {
					m.leave(fmt.Sprintf("host-%d", c.hosts-1-i))
					for range 100 {
						m.sources[fmt.Sprintf("10.0.0.%d:1", rng.IntN(c.engines))].add(fmt.Sprint("part-", parts), false)
						parts++
						time.Sleep(20 * time.Millisecond)
					}
				}
				for i := range 6 {
					name := fmt.Sprintf("host-%d", c.hosts-7-i)
					m.cancels[name]()
					m.add(t, name, c.hosts)
					m.run(name, false)
				}
				time.Sleep(12 * time.Second)
				if diff := cmp.Diff(map[string]int{}, m.unawareOf("before")); diff != "" {
					t.Errorf("numbers of %d cached parts that hosts don't know of (-want +got):\n%s", len(m.sources), diff)
				}
				unaware := map[string]int{}
				for k := range parts {
					for _, name := range m.group.unaware(fmt.Sprint("part-", k), true) {
						unaware[name]++
					}
				}
				if diff := cmp.Diff(map[string]int{}, unaware); diff != "" {
					t.Errorf("numbers of %d later parts that hosts don't know of (-want +got):\n%s", parts, diff)
				}
				if n := m.refused(); n > 0 {
					t.Errorf("engines refused %d polls, want none", n)
				}
			})
		})
	}
}

// Events were lost to hosts if all hosts that polled a group had taken it over.
func TestEventsBeforeTakeoverAreReadAgain(t *testing.T) {
	g, _, c := newStoreGateway(t)
	g.Steady = c
	numbered := func(from, to int64) CacheEvents {
		answer := CacheEvents{Epoch: 1, Next: to, Clock: to}
		for n := from; n <= to; n++ {
			answer.Events = append(answer.Events, CacheEvent{Number: n, Namespace: "n", Part: fmt.Sprint(n)})
		}
		return answer
	}
	answer := func(events CacheEvents) {
		g.hold("e", events.Events[0].Number-1, &events)
		g.applyEvents("e", events, c.Now())
	}
	// after returns the numbers of the events that a host gets which knows those up to since.
	after := func(since int64) []int64 {
		var got []int64
		for _, u := range g.CacheUpdates([]peer.CachePosition{{Source: "e", Epoch: 1, Since: since}}) {
			for _, e := range u.Events {
				got = append(got, e.Number)
			}
		}
		return got
	}
	answer(numbered(1, 8))
	next := g.startPolling("e")
	answer(numbered(next+1, 10))
	got := []any{after(6), after(8), g.nextPoll("e", 10)}
	c.now = c.now.Add(relayedFor)
	got = append(got, after(8), g.nextPoll("e", 10), after(6), g.nextPoll("e", 10), after(8))
	answer(numbered(1, 11))
	got = append(got, after(6), after(0), g.nextPoll("e", 11))
	none, all := []int64(nil), []int64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	want := []any{
		none, []int64{9, 10}, int64(10), // Other hosts are asked first.
		[]int64{9, 10}, int64(10), none, int64(0), none, // The next poll is rewound.
		all[6:], all, int64(11),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events that hosts get, and positions of polls (-want +got):\n%s", diff)
	}
}
