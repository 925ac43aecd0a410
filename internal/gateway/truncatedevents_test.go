package gateway

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/peer"
)

// Peers lost events if the answer to a rewound poll was truncated before the known position.
func TestTruncatedAnswersAreHeldForPeers(t *testing.T) {
	g, _, c := newStoreGateway(t)
	g.Steady = c
	answer := func(since, next int64, truncated bool) {
		events := CacheEvents{Epoch: 1, Next: next, Clock: 1, Truncated: truncated}
		for n := since + 1; n <= next; n++ {
			events.Events = append(events.Events, CacheEvent{Number: n, Namespace: "n", Part: fmt.Sprint(n)})
		}
		g.hold("e", since, &events)
		g.applyEvents("e", events, c.Now())
	}
	answer(0, 10, false)
	g.startPolling("e")
	c.now = c.now.Add(relayedFor)
	position := []peer.CachePosition{{Source: "e", Epoch: 1, Since: 5}}
	g.CacheUpdates(position)
	if since := g.nextPoll("e", 10); since != 0 {
		t.Fatalf("the poll begins after %d, want 0", since)
	}
	answer(0, 4, true)
	answer(4, 8, true)
	answer(8, 12, false)
	var got []int64
	for _, u := range g.CacheUpdates([]peer.CachePosition{{Source: "e", Epoch: 1, Since: 9}}) {
		for _, e := range u.Events {
			got = append(got, e.Number)
		}
	}
	if diff := cmp.Diff([]int64{10, 11, 12}, got); diff != "" {
		t.Errorf("events after 9 (-want +got):\n%s", diff)
	}
	if l := g.cacheLog("e"); l.since != 12 {
		t.Errorf("got position %d, want 12", l.since)
	}
}
