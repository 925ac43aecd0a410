package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/bits"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/peer"
)

// With more hosts than a source of cache events, which is an engine or a store, accepts
// polls from, few hosts poll it and the others ask one of those. Sources form groups, so
// that one call to a peer brings the events of many.
const (
	// smallGroup and largeGroup are the usual numbers of sources in a group, the latter if there
	// would be more than mostSmallGroups. Large groups take fewer calls of each host, but more of
	// the links of the hosts that poll them, so that events arrive late.
	smallGroup      = 16
	largeGroup      = 64
	mostSmallGroups = 8
	// groupWatchers is the number of hosts that poll the sources of a group.
	groupWatchers = 6
	// relayCycle is the time between two calls for the events of a group.
	relayCycle = 700 * time.Millisecond
	// relayStep is the time between the calls for two groups, if there is time for all of
	// them within relayCycle, so that their events aren't applied at the same time.
	relayStep = 50 * time.Millisecond
	// maxLogEvents limits the events of a source that a host holds for its peers.
	maxLogEvents = 2048
	// roleInterval is the time between two checks of which groups this host polls.
	roleInterval = 500 * time.Millisecond
)

// CacheRelay provides the cache events that other hosts have polled.
type CacheRelay interface {
	// CacheWatchers returns the names of up to n hosts that poll the sources of a group,
	// and whether this host is one of them.
	CacheWatchers(group string, n int) (watchers []string, self bool)
	// PeerCacheEvents asks a host for the events of sources that it polls.
	PeerCacheEvents(ctx context.Context, host string, positions []peer.CachePosition) ([]peer.CacheUpdate, error)
}

// cacheLog is the position of this host in the events of a source. If this host polls the
// source, it also holds its latest events for peers.
type cacheLog struct {
	epoch, since int64
	// clock is the clock of the targets in milliseconds when the source gave the answer
	// applied last, and answeredAt the time of this host's steady clock at that moment.
	clock      int64
	answeredAt time.Time
	polled     bool
	// events are complete after the event number first.
	first  int64
	events []CacheEvent
}

// accept advances the position by an answer of the source and removes the events that are
// already known. It returns false for an answer that is older than the last one, as a
// peer may give, and reports whether the source has restarted without data.
func (l *cacheLog) accept(events *CacheEvents, answeredAt time.Time) (restarted, ok bool) {
	if events.Clock < l.clock {
		return false, false
	}
	restarted = l.epoch != 0 && events.Epoch != l.epoch
	if events.Epoch == l.epoch {
		var unknown []CacheEvent
		for _, e := range events.Events {
			if e.Number > l.since || e.Number == 0 {
				unknown = append(unknown, e)
			}
		}
		events.Events = unknown
	}
	if restarted || events.Gap {
		l.events, l.first = nil, events.Next
		if len(events.Events) > 0 {
			l.first = events.Events[0].Number - 1
		}
	}
	l.epoch, l.since, l.clock, l.answeredAt = events.Epoch, events.Next, events.Clock, answeredAt
	return restarted, true
}

// keep holds events for peers.
func (l *cacheLog) keep(events []CacheEvent) {
	l.events = append(l.events, events...)
	if excess := len(l.events) - maxLogEvents; excess > 0 {
		l.first = l.events[excess-1].Number
		l.events = append([]CacheEvent(nil), l.events[excess:]...)
	}
}

// update returns the events after a position.
func (l *cacheLog) update(pos peer.CachePosition, now time.Time) peer.CacheUpdate {
	if pos.Epoch != l.epoch {
		pos.Since = 0
	}
	u := peer.CacheUpdate{Source: pos.Source, Epoch: l.epoch, Next: l.since, Gap: pos.Since < l.first, Clock: l.clock, Age: now.Sub(l.answeredAt)}
	for _, e := range l.events {
		if e.Number > pos.Since {
			u.Events = append(u.Events, e)
		}
	}
	return u
}

// cacheLog returns the log of a source. The lock must be held.
func (g *Gateway) cacheLog(source string) *cacheLog {
	l := g.cacheLogs[source]
	if l == nil {
		l = &cacheLog{}
		g.cacheLogs[source] = l
	}
	return l
}

// startPolling returns the position from which this host polls a source from now on.
func (g *Gateway) startPolling(source string) (since int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.cacheLog(source)
	l.polled, l.first, l.events = true, l.since, nil
	return l.since
}

// stopPolling records that this host no longer polls a source.
func (g *Gateway) stopPolling(source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.cacheLog(source)
	l.polled, l.events = false, nil
}

// CacheUpdates returns the events of the sources that this host polls.
func (g *Gateway) CacheUpdates(positions []peer.CachePosition) []peer.CacheUpdate {
	now := g.Steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var updates []peer.CacheUpdate
	for _, pos := range positions {
		if l := g.cacheLogs[pos.Source]; l != nil && l.polled && !l.answeredAt.IsZero() {
			updates = append(updates, l.update(pos, now))
		}
	}
	return updates
}

// cacheRoles are the groups of sources, and which of them this host polls.
type cacheRoles struct {
	at     time.Time
	groups uint64
	polled map[string]bool
}

// groupOf returns the group of a source. The names of groups also contain their number,
// since the members of a group depend on it.
func groupOf(source string, groups uint64) string {
	return fmt.Sprintf("cache/%d/%d", groups, xxhash.Sum64String(source)%groups)
}

// groupCount returns the number of groups of n sources, a power of two, so that it seldom
// changes.
func groupCount(n int) uint64 {
	groups := func(size int) uint64 { return 1 << bits.Len(uint(max(0, n-1)/size)) }
	return min(groups(smallGroup), max(mostSmallGroups, groups(largeGroup)))
}

// pollsSource reports whether this host polls a source itself. limit is the number of
// concurrent polls that the source accepts, 0 if unknown.
func (g *Gateway) pollsSource(source string, limit int) bool {
	if g.CacheRelay == nil || g.HostCount == nil || limit <= 0 || g.HostCount() <= limit {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if r := &g.roles; r.polled == nil || now.Sub(r.at) >= roleInterval {
		sources := g.sources()
		*r = cacheRoles{at: now, groups: groupCount(len(sources)), polled: map[string]bool{}}
		maps.DeleteFunc(g.cacheLogs, func(name string, _ *cacheLog) bool { _, listed := sources[name]; return !listed })
	}
	group := groupOf(source, g.roles.groups)
	polled, known := g.roles.polled[group]
	if !known {
		_, polled = g.CacheRelay.CacheWatchers(group, min(groupWatchers, limit))
		g.roles.polled[group] = polled
	}
	return polled
}

// sources returns the names of all engines and managed stores with their limits of
// concurrent polls.
func (g *Gateway) sources() map[string]int {
	sources := map[string]int{}
	cfg := g.Routes()
	if cfg == nil {
		return sources
	}
	for _, t := range g.Fleet.Targets() {
		if len(t.Versions) > 0 {
			sources[t.ID] = g.pollLimit(t.Service)
		}
	}
	for name, service := range cfg.Services {
		if service.Store != nil && service.Store.Managed {
			sources[name] = service.Store.MaxEventCalls
		}
	}
	return sources
}

// FollowCaches asks other hosts for the events of the sources that this host doesn't
// poll, until ctx ends. Events are hints, so a call that fails is only counted.
func (g *Gateway) FollowCaches(ctx context.Context) {
	if g.CacheRelay == nil {
		return
	}
	round := xxhash.Sum64String(g.Host)
	var calls sync.WaitGroup
	for ctx.Err() == nil {
		round++
		g.logRelayAges()
		groups := g.followedGroups()
		pause := relayCycle
		for group, members := range groups {
			calls.Go(func() { g.followGroup(ctx, group, members, round) })
			step := min(relayStep, relayCycle/time.Duration(len(groups)))
			pause -= step
			_ = clock.Sleep(ctx, g.Clock, step) // The loop checks ctx.
		}
		_ = clock.Sleep(ctx, g.Clock, max(0, pause)) // The loop checks ctx.
		calls.Wait()
	}
}

// followedGroups returns the sources that this host doesn't poll by their groups.
func (g *Gateway) followedGroups() map[string][]string {
	sources := g.sources()
	groups := map[string][]string{}
	for source, limit := range sources {
		if !g.pollsSource(source, limit) {
			group := groupOf(source, groupCount(len(sources)))
			groups[group] = append(groups[group], source)
		}
	}
	return groups
}

// followGroup asks one of the hosts that poll a group, another one each round.
func (g *Gateway) followGroup(ctx context.Context, group string, sources []string, round uint64) {
	watchers, _ := g.CacheRelay.CacheWatchers(group, groupWatchers)
	if len(watchers) == 0 {
		return
	}
	positions := make([]peer.CachePosition, 0, len(sources))
	g.mu.Lock()
	for _, source := range sources {
		l := g.cacheLog(source)
		positions = append(positions, peer.CachePosition{Source: source, Epoch: l.epoch, Since: l.since})
	}
	g.mu.Unlock()
	sentAt := g.Steady.Now()
	watcher := watchers[round%uint64(len(watchers))]
	updates, err := g.CacheRelay.PeerCacheEvents(ctx, watcher, positions)
	if err != nil {
		g.count("cacheEvents.relayFailed")
		g.relayAges.addFailure()
		return
	}
	for _, u := range updates {
		age := g.Steady.Now().Sub(sentAt) + u.Age
		g.measure("cacheEvents.relayAgeMicros", age)
		g.relayAges.add(age)
		// The watcher wrote its answer after sentAt, so the events are no older than that.
		g.applyEvents(u.Source, CacheEvents{Epoch: u.Epoch, Next: u.Next, Clock: u.Clock, Gap: u.Gap, Events: u.Events}, sentAt.Add(-u.Age))
	}
}

// applyEvents applies the events of an engine or a store. answeredAt is when the source
// answered, by the steady clock of this host.
func (g *Gateway) applyEvents(source string, events CacheEvents, answeredAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.cacheLog(source)
	restarted, ok := l.accept(&events, answeredAt)
	if !ok {
		return
	}
	if l.polled {
		l.keep(events.Events)
	}
	if s := g.stores[source]; s != nil {
		g.applyStoreEvents(source, s, events, answeredAt)
		return
	}
	g.applyCacheEvents(source, restarted, events)
}
