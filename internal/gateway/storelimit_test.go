package gateway

import (
	"fmt"
	"testing"
)

// A store that reported parts without end filled the memory of every host.
func TestStoreWithEndlessPartsTakesBoundedMemory(t *testing.T) {
	g, s, c := newStoreGateway(t)
	s.spec.Tokens = 1 << 20
	for poll := range int64(100) {
		events := newEvents(7, 5000)
		for i := range int64(1000) {
			n := poll*1000 + i + 1
			events.Events = append(events.Events, CacheEvent{Number: n, Namespace: fmt.Sprint("n", n), Part: fmt.Sprint(n), Tokens: 16})
		}
		events.Next = poll*1000 + 1000
		g.applyEvents("s", events, c.now)
	}
	const want = 1<<20/trackedPartTokens + 1
	if len(s.parts) > want || len(s.namespaces) > want || len(s.saves.sent) > 0 {
		t.Errorf("got %d parts in %d namespaces, want at most %d", len(s.parts), len(s.namespaces), want)
	}
	s.apply(CacheEvent{Removed: true, Namespace: "n1", Part: "1"})
	if !s.apply(storedEvent(sharedNamespace)) {
		t.Error("a part isn't tracked although there is room again")
	}
}
