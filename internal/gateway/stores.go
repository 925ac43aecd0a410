package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/prefix"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

const (
	// readLease is how long parts of a store may be read after its last answer,
	// on the clock of the targets.
	readLease = 2400 * time.Millisecond
	// minReadTime is the minimum time left of a read lease for a transfer to be
	// worth starting.
	minReadTime = 600 * time.Millisecond
	// saveDelay is how long nothing is saved to a store after its first answer to
	// this host, and after a restart without data. It prevents a host that still
	// has the state before the restart from reading a part that is just being
	// written again. It is longer than readLease.
	saveDelay = 3 * time.Second
	// storedFor is how long a part counts as stored after its store could last be read. It is then
	// saved to another store.
	storedFor = 4 * time.Second
	// storeUnitTokens is the allocation unit of stores: the size of each part is
	// rounded up to a multiple of it.
	storeUnitTokens = 16
)

// storedPart is a complete part in a store.
type storedPart struct {
	namespace string
	part      string
	tokens    int
}

// cacheStore is this host's view of one store.
type cacheStore struct {
	spec  routing.CacheStore
	epoch int64
	parts map[prefix.Key]storedPart
	// namespaces counts the parts in each namespace.
	namespaces map[string]int
	// usedTokens is the space that the parts take.
	usedTokens int
	// targetClock is the clock of the targets in milliseconds when the store last
	// answered, and answeredAt the time of this host's steady clock at that
	// moment. answeredAt is zero while the store is unavailable.
	targetClock int64
	answeredAt  time.Time
	// readableUntil is when the store was or will be readable the last time, unless it answers again.
	readableUntil time.Time
	// savesFrom is the time before which nothing is saved to the store.
	savesFrom time.Time
	// saves are the parts that were sent to the store lately.
	saves saves
	// partial contains the space of parts that are incomplete in the store, partialTokens their sum. They
	// keep it until an event reports them.
	partial       map[prefix.Key]int
	partialTokens int
	list          listState
}

// readable reports whether parts may be read from the store now.
func (s *cacheStore) readable(now time.Time) bool {
	return !s.answeredAt.IsZero() && now.Sub(s.answeredAt) < readLease-minReadTime
}

// holds reports whether the store has a part that could be read a short time ago.
func (s *cacheStore) holds(now time.Time, key prefix.Key) bool {
	_, ok := s.parts[key]
	return ok && now.Sub(s.readableUntil) < storedFor
}

// transferSeconds returns the time that the transfer of a part from or to the
// store takes.
func (s *cacheStore) transferSeconds(bytes float64, failureDomain string) float64 {
	seconds := s.spec.FirstByteDelay.Seconds() + bytes/s.spec.LinkBytesPerSecond
	if failureDomain != s.spec.FailureDomain {
		seconds *= crossDomainFactor
	}
	return seconds
}

// crossDomainFactor is how many times longer a transfer between failure domains
// takes.
const crossDomainFactor = 2

// WatchStores tracks the contents of the managed stores until ctx ends. It polls those
// that this host has to poll. FollowCaches asks peers about the others.
func (g *Gateway) WatchStores(ctx context.Context, caller CacheEventCaller) {
	watched := map[*cacheStore]storeWatcher{}
	var last sourceScan
	clock.Every(ctx, g.Clock, scanInterval, func(ctx context.Context) {
		if !g.scanDue(&last) {
			return
		}
		cfg := g.routes.Load()
		if cfg == nil {
			return
		}
		endWhere := func(ends func(name string, s *cacheStore) bool) {
			for s, w := range watched {
				if ends(w.name, s) {
					w.end()
					delete(watched, s)
				}
			}
		}
		// A store at another address has the name, and so the position in the events, of the one before.
		endWhere(func(name string, s *cacheStore) bool { return s.moved(cfg, name) })
		stores := g.updateStores(cfg)
		g.forgetUnfollowed()
		endWhere(func(name string, s *cacheStore) bool { return !g.pollsSource(name, s.spec.MaxEventCalls) })
		for name, s := range stores {
			if _, ok := watched[s]; !ok && g.pollsSource(name, s.spec.MaxEventCalls) {
				watched[s] = storeWatcher{name, goUntilEnd(ctx, func(ctx context.Context) { g.watchStore(ctx, caller, name, s) })}
			}
		}
	})
	for _, w := range watched {
		w.end()
	}
}

// storeWatcher polls the store with a name until end is called.
type storeWatcher struct {
	name string
	end  func()
}

// goUntilEnd runs a function in a goroutine. end ends its context and waits until it has returned.
func goUntilEnd(ctx context.Context, f func(ctx context.Context)) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { f(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// moved reports whether a configuration has no store of the name at the address of this one.
func (s *cacheStore) moved(cfg *routing.Config, name string) bool {
	service := cfg.Services[name]
	return service.Store == nil || service.Store.Address != s.spec.Address
}

// updateStores adds the managed stores of the configuration, removes those that it no
// longer contains, and returns them by name.
func (g *Gateway) updateStores(cfg *routing.Config) map[string]*cacheStore {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.stores {
		if s.moved(cfg, name) {
			delete(g.stores, name)
			delete(g.cacheLogs, name)
		}
	}
	for name, service := range cfg.Services {
		if service.Store != nil && service.Store.Managed && g.stores[name] == nil {
			g.stores[name] = &cacheStore{spec: *service.Store, parts: map[prefix.Key]storedPart{}, namespaces: map[string]int{}}
		}
	}
	return maps.Clone(g.stores)
}

func (g *Gateway) watchStore(ctx context.Context, caller CacheEventCaller, name string, s *cacheStore) {
	since := g.startPolling(name)
	defer g.stopPolling(name)
	first := g.readListFirst(ctx, name, s)
	if first != nil {
		since = first.Next
	}
	unavailable := false
	for ctx.Err() == nil {
		wait, pause := g.storePollTiming(s)
		since = g.nextPoll(name, since)
		events, err := caller.CacheEvents(ctx, s.spec.Address, since, wait)
		if err == nil {
			g.logDecodeErr(name, events.DecodeErr)
			g.startFromList(name, s, first, &events)
			first = nil
			g.markMissing(s, since, &events)
			g.hold(name, since, &events)
			since = events.Next
			g.applyEvents(name, events, g.Steady.Now())
			if events.Truncated {
				pause = scanInterval
			}
			g.completeContents(ctx, name, s)
		} else if ctx.Err() == nil {
			pause = pollRetryPause
			g.markStoreUnavailable(s)
		}
		if (err != nil) != unavailable && ctx.Err() == nil {
			unavailable = err != nil
			g.Log.Info().Str("part", "stores").Str("store", name).Str("address", s.spec.Address).Bool("lost", unavailable).
				Int64("epoch", s.epoch).Err(err).Msg("stores: availability of the store changed")
		}
		_ = clock.Sleep(ctx, g.Clock, pause) // The loop checks ctx.
	}
}

// markStoreUnavailable stops reads from a store until it answers again.
func (g *Gateway) markStoreUnavailable(s *cacheStore) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.endReads(g.Steady.Now())
}

// endReads keeps the store from being read until its next complete answer.
func (s *cacheStore) endReads(now time.Time) {
	s.answeredAt = time.Time{}
	if now.Before(s.readableUntil) {
		s.readableUntil = now
	}
}

// applyStoreEvents applies the events of a store that answered at answeredAt. The lock
// must be held.
func (g *Gateway) applyStoreEvents(name string, s *cacheStore, events CacheEvents, answeredAt time.Time) {
	if events.Epoch != s.epoch {
		g.beginEpoch(name, s, events.Epoch)
	}
	if events.Gap {
		// The missing events may have reported that parts were removed.
		g.count("stores.gaps")
		s.forgetParts()
		s.list.missingAt = g.Steady.Now()
	}
	if events.Truncated {
		s.endReads(g.Steady.Now()) // The contents are known only in part.
	} else {
		s.targetClock, s.answeredAt = events.Clock, answeredAt
		s.readableUntil = answeredAt.Add(readLease - minReadTime)
	}
	for range s.saves.expire(g.Steady.Now()) {
		g.count("stores.savesUnreported")
	}
	for _, event := range events.Events {
		if !s.apply(event) {
			g.count("stores.partsUntracked")
		}
	}
}

// beginEpoch discards the state of a store that is new or has restarted without data. The lock must be held.
func (g *Gateway) beginEpoch(name string, s *cacheStore, epoch int64) {
	g.Log.Info().Str("part", "stores").Str("store", name).Int64("epoch", epoch).Int64("before", s.epoch).
		Int("parts", len(s.parts)).Msg("stores: store is new or has restarted without data")
	if s.epoch != 0 {
		s.list = listState{} // That of a new store is whether its list could be read first.
	}
	s.epoch = epoch
	s.forgetParts()
	s.answeredAt, s.readableUntil = time.Time{}, time.Time{}
	s.saves = saves{}
	s.savesFrom = g.Steady.Now().Add(saveDelay)
}

// forgetParts forgets the contents.
func (s *cacheStore) forgetParts() {
	s.usedTokens = 0
	s.partialTokens = 0
	clear(s.parts)
	clear(s.namespaces)
	clear(s.partial)
}

// trackedPartTokens is the size of parts by which the number of those is limited that are tracked of a
// store. A faulty one may report parts without end.
const trackedPartTokens = 128

// apply applies an event, and returns false for a part beyond the number that is tracked. It counts
// as not stored.
func (s *cacheStore) apply(event CacheEvent) bool {
	key := partKey(event.Namespace, event.Part)
	s.endPartial(key)
	if held, ok := s.parts[key]; ok {
		s.usedTokens -= roundUp(held.tokens)
		delete(s.parts, key)
		if s.namespaces[held.namespace]--; s.namespaces[held.namespace] == 0 {
			delete(s.namespaces, held.namespace)
		}
	}
	if event.Removed {
		return true
	}
	s.saves.reported(key)
	if len(s.parts) > s.spec.Tokens/trackedPartTokens {
		return false
	}
	s.parts[key] = storedPart{namespace: event.Namespace, part: event.Part, tokens: event.Tokens}
	s.namespaces[event.Namespace]++
	s.usedTokens += roundUp(event.Tokens)
	return true
}

func roundUp(tokens int) int {
	return (tokens + storeUnitTokens - 1) / storeUnitTokens * storeUnitTokens
}

// source is an address from which a prompt part can be fetched. The address is
// empty if there is none.
type source struct {
	address string
	// seconds is the expected time of the transfer.
	seconds float64
	// store is nil if the address is that of a target.
	store *cacheStore
}

// findSources returns the fastest source of each part among stores and targets.
// The last part has none, since it is specific to the request or its session.
// The lock must be held.
func (g *Gateway) findSources(w *work.Work, keys []prefix.Key) []source {
	found := make([]source, len(keys))
	for i, key := range keys[:len(keys)-1] {
		found[i] = g.findSource(key, w.Parts[i].Tokens, "")
	}
	return found
}

// findSource returns the fastest source of a part other than the target excluded. The
// lock must be held.
func (g *Gateway) findSource(key prefix.Key, tokens int, excluded string) source {
	now := g.Steady.Now()
	bytes := float64(tokens) * g.bytesPerToken
	var best source
	if holder := g.placer.Holder(key, excluded); holder != "" && g.fetchRate > 0 {
		if t, ok := g.Fleet.Find(holder); ok {
			best = source{address: t.Address, seconds: targetLatencySeconds + bytes/g.fetchRate}
		}
	}
	for _, s := range g.stores {
		held, ok := s.parts[key]
		if !ok || held.tokens < tokens || !s.readable(now) {
			continue
		}
		if seconds := s.transferSeconds(bytes, g.FailureDomain); best.address == "" || seconds < best.seconds {
			best = source{address: s.spec.Address, seconds: seconds, store: s}
		}
	}
	return best
}

// targetLatencySeconds is the time before a transfer between two targets
// begins.
const targetLatencySeconds = 0.002
