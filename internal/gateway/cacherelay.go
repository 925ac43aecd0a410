package gateway

import (
	"cmp"
	"context"
	"slices"
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
	// groupWatchers is the number of hosts that poll the sources of a group.
	groupWatchers = 6
	// relayCycle is the time between two calls for the events of a group.
	relayCycle = 700 * time.Millisecond
	// relayStep is the time between the calls for two groups, if there is time for all of
	// them within relayCycle, so that their events aren't applied at the same time.
	relayStep = 50 * time.Millisecond
	// maxLogEvents limits the events of a source that a host holds for its peers.
	maxLogEvents = 2048
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
	// began is where this host began to poll the source, 0 if that was at its first event, and
	// beganAt when.
	began   int64
	beganAt time.Time
	// rewind is set if the next poll is to begin at the first event, and rewound until the first
	// answer to a poll that began before since.
	rewind, rewound bool
	// truncated is set if the source had further events when it gave that answer.
	truncated bool
	// relayedAt is when another host last had the events, or when this host first asked for them.
	relayedAt time.Time
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
	if l.behind(events) {
		events.Gap = false // Those that are missing are known.
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
		l.began = 0
		l.events, l.first = nil, events.Next
		if len(events.Events) > 0 {
			l.first = events.Events[0].Number - 1
		}
	}
	next := events.Next
	if l.behind(events) {
		next = l.since
	}
	l.epoch, l.since, l.clock, l.answeredAt, l.truncated = events.Epoch, next, events.Clock, answeredAt, events.Truncated
	return restarted, true
}

// behind reports whether an answer was truncated before the position.
func (l *cacheLog) behind(events *CacheEvents) bool {
	return events.Truncated && events.Epoch == l.epoch && events.Next < l.since
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

// lacks reports whether the source may have events after a position that this host doesn't hold,
// since it began to poll later.
func (l *cacheLog) lacks(pos peer.CachePosition) bool {
	return l.began > 0 && l.first == l.began && (pos.Epoch != l.epoch || pos.Since < l.began)
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

// startPolling returns the position from which this host polls a source from now on. If it does so
// for hosts of another build, these may know nothing yet and rely on it for all events.
func (g *Gateway) startPolling(source string) (since int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.cacheLog(source)
	l.polled, l.first, l.events = true, l.since, nil
	l.began, l.beganAt = l.since, g.Steady.Now()
	l.relayedAt = time.Time{}
	l.rewind = false
	if l.rewound = g.isAsked(source); l.rewound {
		return 0
	}
	return l.since
}

// nextPoll returns the position of the next poll of a source, since unless it is to be rewound.
func (g *Gateway) nextPoll(source string, since int64) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.cacheLog(source)
	if !l.rewind {
		return since
	}
	l.rewind, l.rewound = false, true
	return 0
}

// hold holds the known events of an answer for peers, if the poll after since began before them.
func (g *Gateway) hold(source string, since int64, events *CacheEvents) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.cacheLog(source)
	if !l.rewound || l.behind(events) {
		return
	}
	l.rewound, l.began = false, 0
	if events.Epoch != l.epoch || events.Next < l.since || len(events.Events) == 0 {
		return
	}
	first := since
	if events.Gap {
		first = events.Events[0].Number - 1
	}
	if first > l.since {
		return
	}
	// There is no gap after since.
	events.Gap = false
	l.first, l.events = first, nil
	known, _ := slices.BinarySearchFunc(events.Events, l.since+1, func(e CacheEvent, n int64) int { return cmp.Compare(e.Number, n) })
	l.keep(events.Events[:known])
}

// stopPolling records that this host no longer polls a source.
func (g *Gateway) stopPolling(source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.cacheLog(source)
	l.polled, l.events = false, nil
}

// CacheUpdates returns the events of the sources that this host polls. If it began to poll one after
// the position of the caller, the other hosts that poll it are likely to hold the events between. If
// the caller doesn't get them there, this host reads them again.
func (g *Gateway) CacheUpdates(positions []peer.CachePosition) []peer.CacheUpdate {
	now := g.Steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var updates []peer.CacheUpdate
	for _, pos := range positions {
		l := g.cacheLogs[pos.Source]
		polled := l != nil && l.polled
		if _, asked := g.asked[pos.Source]; asked || !polled {
			g.addAsked(now, pos.Source)
		}
		if !polled || l.rewound || l.answeredAt.IsZero() {
			continue
		}
		if l.truncated && g.stores[pos.Source] != nil {
			continue // Peers would take its contents for known.
		}
		if l.lacks(pos) {
			l.rewind = now.Sub(l.beganAt) >= relayedFor
			continue
		}
		updates = append(updates, l.update(pos, now))
	}
	return updates
}

// sources returns the names of all engines and managed stores with their limits of
// concurrent polls.
func (g *Gateway) sources() map[string]int {
	sources := map[string]int{}
	cfg := g.Routes()
	if cfg == nil {
		return sources
	}
	sharded := g.sharded()
	for _, t := range g.Fleet.Targets() {
		// The owners of shards poll their engines, and no other host needs their events.
		if len(t.Versions) > 0 && !sharded {
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
			_ = clock.Tick(ctx, g.Clock, step) // The loop checks ctx.
		}
		_ = clock.Tick(ctx, g.Clock, max(0, pause)) // The loop checks ctx.
		calls.Wait()
	}
}

// followedGroups returns the sources that this host doesn't poll by their groups.
func (g *Gateway) followedGroups() map[string][]string {
	sources := g.sources()
	groups := map[string][]string{}
	for source, limit := range sources {
		if !g.pollsSource(source, limit) && g.needsSource() {
			group := groupOf(source, groupCount(len(sources)))
			groups[group] = append(groups[group], source)
		}
	}
	return groups
}

// followGroup asks one of the hosts that poll a group, another one each round. If a host doesn't
// have all sources, as one of an earlier build, others are asked for the rest.
func (g *Gateway) followGroup(ctx context.Context, group string, sources []string, round uint64) {
	watchers := g.otherWatchers(group)
	if len(watchers) == 0 {
		return
	}
	first := g.nextWatcher(group, watchers, round)
	if first == "" {
		first = watchers[round%uint64(len(watchers))]
	}
	missing := g.askWatcher(ctx, group, first, sources)
	missing = g.askOthers(ctx, group, watchers, missing, round)
	if len(missing) > 0 {
		g.askEarlier(ctx, missing, round)
	}
}

// otherWatchers returns the hosts that poll the sources of a group, without this one, which may be
// among those of a division that another build uses.
func (g *Gateway) otherWatchers(group string) []string {
	watchers, _ := g.CacheRelay.CacheWatchers(group, groupWatchers)
	return slices.DeleteFunc(slices.Clone(watchers), func(name string) bool { return name == g.Host })
}

// askOthers asks the hosts that poll a group for missing sources, except those that lacked some
// a short time ago, and returns the ones that are still missing.
func (g *Gateway) askOthers(ctx context.Context, group string, watchers, missing []string, round uint64) []string {
	for len(missing) > 0 {
		watcher := g.nextWatcher(group, watchers, round)
		if watcher == "" {
			break
		}
		missing = g.askWatcher(ctx, group, watcher, missing)
	}
	return missing
}

// askEarlier asks the hosts that poll missing sources if they are of an earlier build.
func (g *Gateway) askEarlier(ctx context.Context, missing []string, round uint64) {
	for _, count := range earlierGroupCounts(len(g.sources())) {
		groups := map[string][]string{}
		for _, source := range missing {
			group := groupOf(source, count)
			groups[group] = append(groups[group], source)
		}
		missing = nil
		for group, members := range groups {
			missing = append(missing, g.askOthers(ctx, group, g.otherWatchers(group), members, round)...)
		}
	}
}

// askWatcher asks a host for the events of sources and applies them. It returns the sources that
// neither this host nor others asked before have had for some time, none if the call failed.
func (g *Gateway) askWatcher(ctx context.Context, group, watcher string, sources []string) (missing []string) {
	positions := make([]peer.CachePosition, 0, len(sources))
	sentAt := g.Steady.Now()
	g.mu.Lock()
	for _, source := range sources {
		l := g.cacheLog(source)
		if l.relayedAt.IsZero() {
			l.relayedAt = sentAt
		}
		positions = append(positions, peer.CachePosition{Source: source, Epoch: l.epoch, Since: l.since})
	}
	g.mu.Unlock()
	updates, err := g.CacheRelay.PeerCacheEvents(ctx, watcher, positions)
	if err != nil {
		g.count("cacheEvents.relayFailed")
		g.relayAges.addFailure()
		return nil
	}
	for _, u := range updates {
		age := g.Steady.Now().Sub(sentAt) + u.Age
		g.measure("cacheEvents.relayAgeMicros", age)
		g.relayAges.add(age)
		// The watcher wrote its answer after sentAt, so the events are no older than that.
		g.applyEvents(u.Source, CacheEvents{Epoch: u.Epoch, Next: u.Next, Clock: u.Clock, Gap: u.Gap, Events: u.Events}, sentAt.Add(-u.Age))
	}
	return g.missingFrom(group, watcher, sources, updates)
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
