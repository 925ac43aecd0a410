package gateway

import (
	"fmt"
	"maps"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasplank.example/sassafrasplank/internal/peer"
)

const (
	// smallGroup and largeGroup are the usual numbers of sources in a group, the latter if there
	// would be more than mostSmallGroups. Large groups take fewer calls of each host, but more of
	// the links of the hosts that poll them, so that events arrive late.
	smallGroup      = 16
	largeGroup      = 64
	mostSmallGroups = 8
	// roleInterval is the time between two checks of which groups this host polls.
	roleInterval = 500 * time.Millisecond
	// askedAtLeast is how long other hosts must have asked for a source before this host polls it
	// for them, and askedFor how long it does so after they last asked. A host asks six others in
	// turn, each relayCycle another one.
	askedAtLeast = 3 * time.Second
	askedFor     = 10 * time.Second
	// relayedFor is how long hosts may lack a source before others are asked for it, as they do
	// when it has just been listed.
	relayedFor = 2 * time.Second
	// lackingFor is how long a host that lacks sources of a group is left out.
	lackingFor = 30 * time.Second
)

// askedSource is when other hosts first and last asked for a source, without a long pause.
type askedSource struct{ first, last time.Time }

// groupWatcher is a host in a group of sources.
type groupWatcher struct{ group, host string }

// cacheRoles are the sources with their limits of concurrent polls, the number of their groups,
// and which groups this host polls.
type cacheRoles struct {
	at      time.Time
	sources map[string]int
	groups  uint64
	polled  map[string]bool
	// earlier contains the sources that this host would poll if it were of an earlier build.
	earlier map[string]bool
	// owners is the number of hosts that own shards, and ranks that of those with a higher hash for
	// each store than this host. follows is set if this host needs the contents of the stores.
	owners  int
	ranks   map[string]int
	follows bool
}

// groupOf returns the group of a source. The names of groups also contain their number,
// since the members of a group depend on it.
func groupOf(source string, groups uint64) string {
	return fmt.Sprintf("cache/%d/%d", groups, xxhash.Sum64String(source)%groups)
}

// groupCount returns the number of groups of n sources, a power of two, so that it seldom
// changes.
func groupCount(n int) uint64 {
	return min(groupsOf(n, smallGroup), max(mostSmallGroups, groupsOf(n, largeGroup)))
}

func groupsOf(n, size int) uint64 { return 1 << bits.Len(uint(max(0, n-1)/size)) }

// earlierGroupCounts returns the numbers of groups of n sources on hosts of builds before f444162
// and before 3505896, as far as they differ from the present one.
func earlierGroupCounts(n int) []uint64 {
	var counts []uint64
	for _, size := range []int{largeGroup, smallGroup} {
		if count := groupsOf(n, size); count != groupCount(n) {
			counts = append(counts, count)
		}
	}
	return counts
}

// pollsSource reports whether this host polls a source itself. limit is the number of
// concurrent polls that the source accepts, 0 if unknown.
func (g *Gateway) pollsSource(source string, limit int) bool {
	if g.awaitsHostList() {
		return false
	}
	sharded := g.sharded()
	if t, listed := g.Fleet.Find(source); listed && len(t.Versions) > 0 && sharded {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.ownsShard(&t)
	}
	if !sharded && !g.relaysEvents(limit) {
		return true
	}
	holdsLease := sharded && g.HoldsLease != nil && g.HoldsLease() // It must not be called under the lock.
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateRoles(sharded, holdsLease)
	if sharded && g.pollsAsOwner(limit) {
		return g.roles.follows || g.isAsked(source)
	}
	group := groupOf(source, g.roles.groups)
	polled, known := g.roles.polled[group]
	if !known {
		_, polled = g.CacheRelay.CacheWatchers(group, min(groupWatchers, limit))
		g.roles.polled[group] = polled
	}
	return polled || g.isAsked(source)
}

// relaysEvents reports whether there are more hosts than polls that a source accepts, 0 if unknown, so
// that hosts ask each other for its events.
func (g *Gateway) relaysEvents(limit int) bool {
	return g.CacheRelay != nil && g.HostCount != nil && limit > 0 && g.HostCount() > limit
}

// updateRoles checks again which sources this host polls, if that is due. The lock must be held.
func (g *Gateway) updateRoles(sharded, holdsLease bool) {
	now := g.Clock.Now()
	r := &g.roles
	// A host that starts has to know the stores as soon as there are shards.
	unowned := sharded && r.owners == 0
	if r.polled != nil && now.Sub(r.at) < roleInterval && !unowned {
		return
	}
	sources := g.sources()
	*r = cacheRoles{at: now, sources: sources, groups: groupCount(len(sources)), polled: map[string]bool{}, earlier: map[string]bool{}}
	if sharded {
		owners, owns := g.shardOwnership()
		r.owners, r.ranks, r.follows = len(owners), ranks(g.Host, owners, sources), owns || holdsLease
		if r.follows {
			g.followedAt = g.Steady.Now()
		}
	}
	maps.DeleteFunc(g.cacheLogs, func(name string, _ *cacheLog) bool {
		_, listed := sources[name]
		_, target := g.Fleet.Find(name) // With shards, engines are no sources for other hosts.
		return !listed && !target
	})
	steady := g.Steady.Now()
	maps.DeleteFunc(g.asked, func(name string, asked askedSource) bool {
		_, listed := sources[name]
		return !listed || steady.Sub(asked.last) > askedFor
	})
}

// addAsked records that another host asks for a source outside of the groups that this host polls.
// If that host is of an earlier build, this one has to poll the source, too. The lock must be held.
func (g *Gateway) addAsked(now time.Time, source string) {
	limit, listed := g.roles.sources[source]
	if !listed || g.roles.polled[groupOf(source, g.roles.groups)] {
		return
	}
	polled, known := g.roles.earlier[source]
	if !known {
		// Polls beyond those by the present groups must not exceed the limit together.
		counts, present := earlierGroupCounts(len(g.roles.sources)), groupWatchers
		if g.roles.owners > 0 && g.pollsAsOwner(limit) {
			// Earlier builds that have shards divide the stores into the present groups.
			// The holder of the lease of swaps polls beside the owners.
			counts, present = []uint64{g.roles.groups}, g.roles.owners+1
		}
		n := min(groupWatchers, max(0, limit-present)/max(1, len(counts)))
		for _, count := range counts {
			_, self := g.CacheRelay.CacheWatchers(groupOf(source, count), n)
			polled = polled || self
		}
		g.roles.earlier[source] = polled
	}
	if !polled {
		return
	}
	asked, known := g.asked[source]
	if !known {
		asked.first = now
	}
	asked.last = now
	g.asked[source] = asked
}

// isAsked reports whether other hosts rely on this one for the events of a source, though it
// isn't in a group that this host polls. The lock must be held.
func (g *Gateway) isAsked(source string) bool {
	asked := g.asked[source]
	return asked.last.Sub(asked.first) >= askedAtLeast
}

// nextWatcher returns the host of a group to ask in a round, leaving out those that lacked sources
// a short time ago. It returns an empty string if there are no others.
func (g *Gateway) nextWatcher(group string, watchers []string, round uint64) string {
	now := g.Steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range uint64(len(watchers)) {
		watcher := watchers[(round+i)%uint64(len(watchers))]
		if !now.Before(g.lacking[groupWatcher{group, watcher}]) {
			return watcher
		}
	}
	return ""
}

// missingFrom records which sources the asked host has. It returns those that no asked host has had
// for some time, and leaves the host out if there are any.
func (g *Gateway) missingFrom(group, watcher string, sources []string, updates []peer.CacheUpdate) []string {
	now := g.Steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range updates {
		g.cacheLog(u.Source).relayedAt = now
	}
	var missing []string
	for _, source := range sources {
		if now.Sub(g.cacheLog(source).relayedAt) >= relayedFor && !g.limits.Limited(source) {
			missing = append(missing, source)
		}
	}
	if len(missing) > 0 {
		maps.DeleteFunc(g.lacking, func(_ groupWatcher, until time.Time) bool { return !now.Before(until) })
		g.lacking[groupWatcher{group, watcher}] = now.Add(lackingFor)
		g.count("cacheEvents.relayLacking")
	}
	return missing
}
