package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

// With shards, only the hosts that plan transfers need the contents of the managed stores: the owners
// of shards, and the holder of the lease of swaps, which frees parts of replaced weights. They poll
// the stores themselves as long as the stores accept that many polls. Otherwise, groups of hosts poll
// the stores, and the owners and the holder ask them.
const (
	// followFor is how long a host follows the stores after it has last owned a shard.
	followFor = 3 * time.Second
	// replacingChecks is the number of checks, one each roleInterval, after which a host follows the
	// stores since it takes itself for the owner of a shard in the place of one that doesn't answer it. An
	// owner that is late once is avoided for 1 s, for which it isn't worth reading up to 3,000 events and
	// the list of each store.
	replacingChecks = 4
	// forgetAfter is how long a host knows the contents of stores that it doesn't follow any more.
	forgetAfter = 30 * time.Second
	// relayedPollWait is how long a poll of a store waits if owners ask this host for its events. With
	// longPollPause and relayCycle, the contents at the owners are at most 1.4 s old, so that stores
	// remain readable (readLease less minReadTime).
	relayedPollWait = 500 * time.Millisecond
)

// registerStores registers the metrics about stores.
func (g *Gateway) registerStores() {
	metrics.NewRegisteredFunctionalGauge("stores.known", g.Metrics, func() int64 {
		now := g.Steady.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		n := int64(0)
		for _, s := range g.stores {
			if s.readable(now) {
				n++
			}
		}
		return n
	})
}

// shardOwnership returns the hosts that own shards, and whether this host owned one a short time ago.
// The lock must be held.
func (g *Gateway) shardOwnership() (owners map[string]bool, owns bool) {
	now := g.Steady.Now()
	owners = g.shardOwners()
	replaces := false
	for _, m := range g.shards.maps {
		for _, name := range m.Names() {
			replaces = replaces || g.ownerOf(name) == g.Host
		}
	}
	if replaces {
		g.replacing = min(g.replacing+1, replacingChecks)
	} else {
		g.replacing = max(0, g.replacing-1)
	}
	if owners[g.Host] || g.replacing >= replacingChecks {
		g.ownedAt = now
	}
	return owners, !g.ownedAt.IsZero() && now.Sub(g.ownedAt) < followFor
}

// shardOwners returns the hosts that own shards. The lock must be held.
func (g *Gateway) shardOwners() map[string]bool {
	owners := map[string]bool{}
	for _, m := range g.shards.maps {
		for _, name := range m.Names() {
			for _, owner := range g.ShardRelay.ShardOwners(name, 1) {
				owners[owner] = true
			}
		}
	}
	return owners
}

// pollsAsOwner reports whether the owners of shards poll a store that accepts limit polls, 0 if
// unknown. One of the polls is left for the holder of the lease of swaps. The lock must be held.
func (g *Gateway) pollsAsOwner(limit int) bool {
	return g.CacheRelay == nil || limit <= 0 || g.roles.owners < limit
}

// needsSource reports whether this host needs the events of sources that it doesn't poll.
func (g *Gateway) needsSource() bool {
	if !g.sharded() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roles.follows
}

// storePollTiming returns how long a poll of a store waits and the pause after it. The first answer,
// one after which the list is read, and one after which the store can't be read must not wait for an event.
func (g *Gateway) storePollTiming(s *cacheStore) (wait, pause time.Duration) {
	limit := s.spec.MaxEventCalls
	wait, pause = g.pollTiming(limit)
	sharded := g.sharded()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !sharded {
		return wait, pause
	}
	wait, pause = longPollWait, longPollPause
	if !g.pollsAsOwner(limit) {
		wait = relayedPollWait
	}
	if s.readableUntil.Sub(g.Steady.Now()) < wait || (s.list.waits() && g.Lister != nil) {
		wait = shortPollWait
	}
	return wait, pause
}

// forgetUnfollowed forgets the contents of the stores that this host has not followed for some time,
// with its positions in their events.
func (g *Gateway) forgetUnfollowed() {
	if !g.sharded() {
		return
	}
	now := g.Steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.followedAt) < forgetAfter {
		return // Answers to calls for later events may still come.
	}
	for name, s := range g.stores {
		l := g.cacheLogs[name]
		if l == nil || l.polled || l.answeredAt.IsZero() || now.Sub(l.answeredAt) < forgetAfter {
			continue
		}
		delete(g.cacheLogs, name)
		*s = cacheStore{spec: s.spec, parts: map[prefix.Key]storedPart{}, namespaces: map[string]int{}}
	}
}
