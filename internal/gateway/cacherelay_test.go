package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/common/bubble"
	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/routing"
)

// hostGroup connects gateways of one process, as peers do over the network.
type hostGroup struct {
	mu    sync.Mutex
	hosts map[string]*Gateway
	down  map[string]bool
	calls int
	// selfCalls are those of hosts to themselves.
	selfCalls int
}

// hostRelay is the group as one host sees it.
type hostRelay struct {
	group *hostGroup
	host  string
}

func (r hostRelay) CacheWatchers(group string, n int) (watchers []string, self bool) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	table := membership.NewTable(membership.Member{Name: r.host, Incarnation: 1}, membership.Params{})
	for name := range r.group.hosts {
		if name != r.host && !r.group.down[name] {
			table.Merge(time.Time{}, []membership.Member{{Name: name, Incarnation: 1}})
		}
	}
	watchers = table.Owners(group, n)
	return watchers, slices.Contains(watchers, r.host)
}

func (r hostRelay) PeerCacheEvents(_ context.Context, host string, positions []peer.CachePosition) ([]peer.CacheUpdate, error) {
	r.group.mu.Lock()
	r.group.calls++
	if host == r.host {
		r.group.selfCalls++ // A host is no peer of its own.
		r.group.mu.Unlock()
		return nil, errors.New("host is not alive")
	}
	asked, down := r.group.hosts[host], r.group.down[host] || r.group.down[r.host]
	r.group.mu.Unlock()
	if down {
		return nil, errors.New("host is down")
	}
	return asked.CacheUpdates(positions), nil
}

// eventSource is an engine or a store with numbered events and a limit of concurrent
// polls.
type eventSource struct {
	mu                      sync.Mutex
	epoch                   int64
	events                  []CacheEvent
	limit, waiting, refused int
	polls                   int
	// silence is how long each poll is held until it fails, 0 if polls are answered.
	silence time.Duration
}

func (s *eventSource) add(part string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, CacheEvent{Number: int64(len(s.events) + 1), Removed: removed, Namespace: sharedNamespace, Part: part, Tokens: 100})
}

func (s *eventSource) CacheEvents(ctx context.Context, _ string, since int64, wait time.Duration) (CacheEvents, error) {
	s.mu.Lock()
	if s.waiting == s.limit {
		s.refused++
		s.mu.Unlock()
		return CacheEvents{}, errTooManyCalls
	}
	s.waiting++
	s.polls++
	silence := s.silence
	s.mu.Unlock()
	err := clock.Sleep(ctx, clock.System{}, max(wait, silence))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if silence > 0 {
		return CacheEvents{}, errNoAnswer
	}
	answer := CacheEvents{Epoch: s.epoch, Next: int64(len(s.events)), Clock: time.Now().UnixMilli()}
	if since <= int64(len(s.events)) {
		answer.Events = slices.Clone(s.events[since:])
	}
	return answer, err
}

// runHosts runs hosts before one engine that accepts 12 polls at once, until scenario
// returns.
func runHosts(t *testing.T, n int, scenario func(group *hostGroup, source *eventSource)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		group := &hostGroup{hosts: map[string]*Gateway{}, down: map[string]bool{}}
		source := &eventSource{epoch: 1, limit: 12}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i := range n {
			name := fmt.Sprintf("host-%03d", i)
			g, _, _ := newStoreGateway(t)
			g.Host, g.Clock, g.Steady = name, clock.System{}, clock.System{}
			g.HostCount = func() int { return n }
			g.CacheRelay = hostRelay{group, name}
			g.SetRoutes(&routing.Config{Version: 2, Services: map[string]routing.Service{
				"loom": {Name: "loom", Engine: &routing.Engine{Slots: 16, MaxEventCalls: source.limit}},
			}})
			g.Fleet.Put(fleet.Target{ID: "e1", Service: "loom", Address: "10.0.0.1:1", Slots: 16, Versions: map[string]int64{"m": 1}})
			g.TargetsChanged()
			group.hosts[name] = g
		}
		for _, g := range group.hosts {
			running.Go(func() { g.WatchCaches(ctx, source) })
			running.Go(func() { g.FollowCaches(ctx) })
		}
		scenario(group, source)
		cancel()
		running.Wait()
	})
}

// unaware returns the hosts that don't know the state of a part on the engine.
func (group *hostGroup) unaware(part string, cached bool) []string {
	var names []string
	for name, g := range group.hosts {
		g.mu.Lock()
		if (g.placer.Holder(partKey(sharedNamespace, part), "") != "") != cached && !group.down[name] {
			names = append(names, name)
		}
		g.mu.Unlock()
	}
	slices.Sort(names)
	return names
}

// Every host must learn of cached and removed parts, with any number of hosts, while at
// most 12 of them poll, and while hosts that poll are lost. The polls of an engine must
// not grow with the hosts.
func TestEveryHostLearnsOfCachesThroughPeers(t *testing.T) {
	for _, hosts := range []int{13, 81, 295} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			runHosts(t, hosts, func(group *hostGroup, source *eventSource) {
				source.add("first", false)
				time.Sleep(4 * time.Second)
				if diff := cmp.Diff([]string(nil), group.unaware("first", true)); diff != "" {
					t.Errorf("hosts that don't know of a cached part (-want +got):\n%s", diff)
				}
				relay := hostRelay{group, "host-000"}
				watchers, _ := relay.CacheWatchers(groupOf("e1", 1), groupWatchers)
				group.mu.Lock()
				for _, name := range watchers[:3] {
					group.down[name] = true
				}
				group.mu.Unlock()
				source.add("first", true)
				source.add("second", false)
				time.Sleep(6 * time.Second)
				if diff := cmp.Diff([]string(nil), group.unaware("first", false)); diff != "" {
					t.Errorf("hosts that don't know of a removed part (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]string(nil), group.unaware("second", true)); diff != "" {
					t.Errorf("hosts that don't know of a later part (-want +got):\n%s", diff)
				}
				source.mu.Lock()
				defer source.mu.Unlock()
				if most := 12 * 10; source.polls > most || source.refused > 0 {
					t.Errorf("%d polls in 10 s, %d refused, want at most %d and none", source.polls, source.refused, most)
				}
			})
		})
	}
}

// An answer that a peer received before the last one known must not be applied, or a
// store would seem to hold parts that it has lost.
func TestOlderAnswerIsIgnored(t *testing.T) {
	g, s, c := newStoreGateway(t)
	restarted := newEvents(8, 9000)
	restarted.Next = 1
	before := newEvents(7, 8000, storedEvent(sharedNamespace))
	before.Next = 5
	g.applyEvents("s", before, c.now)
	g.applyEvents("s", restarted, c.now)
	g.applyEvents("s", before, c.now)
	if s.epoch != 8 || len(s.parts) != 0 || s.targetClock != 9000 {
		t.Errorf("got epoch %d, %d parts and clock %d, want those of the restarted store: 8, 0 and 9000", s.epoch, len(s.parts), s.targetClock)
	}
}

// The answer of a peer must not prolong the time in which parts of a store may be read:
// it ends by the clock of the targets at the answer of the store itself.
func TestRelayedAnswerDoesNotProlongReads(t *testing.T) {
	g, s, c := newStoreGateway(t)
	g.applyEvents("s", newEvents(7, 8000, storedEvent(sharedNamespace)), c.now.Add(-(readLease - minReadTime)))
	if s.readable(c.now) {
		t.Error("a store whose last answer is too old is readable")
	}
	g.applyEvents("s", newEvents(7, 8100), c.now.Add(-minReadTime))
	if !s.readable(c.now) {
		t.Error("a store that has answered a short time ago is not readable")
	}
}

// A host that falls behind the events that a peer holds must be told of the gap, and one
// that knows them must get none twice.
func TestCacheLogBounds(t *testing.T) {
	l := &cacheLog{}
	add := func(from, to int64) {
		events := CacheEvents{Epoch: 1, Next: to, Clock: to}
		for n := from; n <= to; n++ {
			events.Events = append(events.Events, CacheEvent{Number: n, Namespace: "n", Part: fmt.Sprint(n)})
		}
		if _, ok := l.accept(&events, time.Unix(to, 0)); !ok {
			t.Fatalf("events up to %d were not accepted", to)
		}
		l.keep(events.Events)
	}
	add(1, 10)
	add(5, 20)
	u := l.update(peer.CachePosition{Epoch: 1, Since: 18}, time.Unix(21, 0))
	if len(l.events) != 20 || len(u.Events) != 2 || u.Gap || u.Next != 20 || u.Age != time.Second {
		t.Errorf("got %d events held and update %+v, want 20 and the events 19 and 20", len(l.events), u)
	}
	add(21, 3*maxLogEvents)
	if u := l.update(peer.CachePosition{Epoch: 1, Since: 20}, time.Unix(1e5, 0)); len(u.Events) != maxLogEvents || !u.Gap {
		t.Errorf("got %d events, gap %t, want %d and a gap", len(u.Events), u.Gap, maxLogEvents)
	}
	if u := l.update(peer.CachePosition{Epoch: 9, Since: 3 * maxLogEvents}, time.Unix(1e5, 0)); len(u.Events) != maxLogEvents {
		t.Errorf("got %d events for a position of another epoch, want %d", len(u.Events), maxLogEvents)
	}
}

// A host that polls for hosts of another build held only the events since it began.
func TestRewoundPollHoldsKnownEvents(t *testing.T) {
	g, _, _ := newStoreGateway(t)
	event := func(n int64) CacheEvent { return CacheEvent{Number: n, Namespace: "n", Part: fmt.Sprint(n)} }
	at := time.Unix(100, 0)
	g.applyEvents("e", CacheEvents{Epoch: 1, Next: 8, Clock: 1, Events: []CacheEvent{event(8)}}, at)
	g.asked["e"] = askedSource{first: at, last: at.Add(askedAtLeast)}
	if since := g.startPolling("e"); since != 0 {
		t.Fatalf("the poll begins after %d, want 0", since)
	}
	if updates := g.CacheUpdates([]peer.CachePosition{{Source: "e", Epoch: 1, Since: 3}}); len(updates) > 0 {
		t.Errorf("got updates %+v before the first answer, want none", updates)
	}
	answer := CacheEvents{Epoch: 1, Next: 10, Clock: 2, Gap: true}
	for n := int64(5); n <= 10; n++ {
		answer.Events = append(answer.Events, event(n))
	}
	g.hold("e", 0, &answer)
	g.applyEvents("e", answer, at)
	for since, want := range map[int64]peer.CacheUpdate{
		3: {Gap: true, Events: []CacheEvent{event(5), event(6), event(7), event(8), event(9), event(10)}},
		6: {Events: []CacheEvent{event(7), event(8), event(9), event(10)}},
	} {
		got := g.cacheLogs["e"].update(peer.CachePosition{Source: "e", Epoch: 1, Since: since}, at)
		want.Source, want.Epoch, want.Next, want.Clock = "e", 1, 10, 2
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("update after %d (-want +got):\n%s", since, diff)
		}
	}
}

// The groups that a host polls must not be worked out again at each look for new engines.
func TestPolledGroupsAreKeptBetweenScans(t *testing.T) {
	const engines, seconds = 240, 10
	bubble.Test(t, func(t *testing.T) {
		g, _, _ := newStoreGateway(t)
		g.Clock, g.Steady = clock.System{}, clock.System{}
		var calls atomic.Int64
		g.HostCount = func() int {
			calls.Add(1)
			return 295
		}
		group := &hostGroup{hosts: map[string]*Gateway{}, down: map[string]bool{}}
		for i := range 20 {
			group.hosts[fmt.Sprint("peer-", i)] = g
		}
		g.CacheRelay = hostRelay{group, "host"}
		g.SetRoutes(&routing.Config{Version: 2, Services: map[string]routing.Service{
			"loom": {Name: "loom", Engine: &routing.Engine{Slots: 16, MaxEventCalls: 12}},
		}})
		for i := range engines {
			g.Fleet.Put(fleet.Target{ID: fmt.Sprint("e", i), Service: "loom", Address: "10.0.0.1:1", Slots: 16, Versions: map[string]int64{"m": 1}})
		}
		ctx, cancel := context.WithTimeout(context.Background(), seconds*time.Second)
		defer cancel()
		source := &eventSource{epoch: 1, limit: 12 * engines}
		calls.Store(0)
		g.WatchCaches(ctx, source)
		source.mu.Lock()
		defer source.mu.Unlock()
		checks := int64(engines * 2 * seconds * time.Second / roleInterval)
		if n := calls.Load() - int64(2*source.polls); n > checks {
			t.Errorf("hosts were counted %d times in %d s for %d engines, want at most %d", n, seconds, engines, checks)
		}
	})
}

// lateEnd ends a poll some time after its context has ended, with an answer or without one.
type lateEnd struct {
	*eventSource

	answers bool
}

func (s lateEnd) CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (CacheEvents, error) {
	events, err := s.eventSource.CacheEvents(ctx, address, since, wait)
	if ctx.Err() != nil {
		time.Sleep(10 * time.Millisecond)
	}
	if s.answers {
		err = nil
	}
	return events, err
}

func TestStoreAtNewAddressIsRelayed(t *testing.T) {
	for _, answers := range []bool{false, true} {
		t.Run(fmt.Sprint("last poll answered ", answers), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				g, _, _ := newStoreGateway(t)
				g.Clock, g.Steady = clock.System{}, clock.System{}
				g.HostCount = func() int { return 13 }
				g.CacheRelay = hostRelay{&hostGroup{hosts: map[string]*Gateway{g.Host: g}}, g.Host}
				configure := func(version int64, address string) {
					g.SetRoutes(&routing.Config{Version: version, Services: map[string]routing.Service{
						"kept": {Name: "kept", Store: &routing.CacheStore{Address: address, Tokens: 5000, LinkBytesPerSecond: 2e10, Managed: true, MaxEventCalls: 12}},
					}})
				}
				source := lateEnd{&eventSource{epoch: 1, limit: 12}, answers}
				source.add("p1", false)
				updates := func() (events int) {
					for _, u := range g.CacheUpdates([]peer.CachePosition{{Source: "kept"}}) {
						events += len(u.Events)
					}
					return events
				}
				ctx, cancel := context.WithCancel(context.Background())
				var watchers sync.WaitGroup
				configure(2, storeAddress)
				watchers.Go(func() { g.WatchStores(ctx, source) })
				time.Sleep(4500 * time.Millisecond)
				before := updates()
				configure(3, "10.0.0.99:1")
				time.Sleep(5 * time.Second)
				if diff := cmp.Diff([]int{1, 1}, []int{before, updates()}); diff != "" {
					t.Errorf("events that other hosts get before and after the change of the address (-want +got):\n%s", diff)
				}
				cancel()
				watchers.Wait()
			})
		})
	}
}
