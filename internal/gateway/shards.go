package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/fleet"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
	"sassafrasplank.example/sassafrasplank/internal/shard"
	"sassafrasplank.example/sassafrasplank/internal/work"
)

// ShardRelay asks other hosts to place attempts on the targets of shards.
type ShardRelay interface {
	// ShardOwners returns the names of up to n hosts that are to place requests on the targets of a
	// shard, the owner first.
	ShardOwners(shard string, n int) []string
	// HostCount returns the number of live hosts.
	HostCount() int
	// Starting reports whether this host may not have heard of all others yet.
	Starting() bool
	Place(ctx context.Context, host string, request *wire.PlaceRequest) (*wire.PlaceResponse, error)
	ReportProgress(ctx context.Context, host string, request *wire.ProgressRequest) (*wire.ProgressResponse, error)
}

const (
	// placeTimeout limits the calls to the owner of a shard and to those that are asked instead, for one
	// placement together. It is a few times the round trip between failure domains and the time for
	// which a small host may not be scheduled.
	placeTimeout = 150 * time.Millisecond
	// avoidOwnerFor is how long another host is taken for the owner after one has given no answer, and
	// avoidStartingFor while this host starts: those that start beside it are soon ready. avoidEarlierFor
	// is for hosts of earlier builds, which place nothing until they are replaced.
	avoidOwnerFor    = time.Second
	avoidStartingFor = 200 * time.Millisecond
	avoidEarlierFor  = 10 * time.Second
	// shardOwners is the number of hosts that are taken for the owner one after another.
	shardOwners = 3
	// hostListWait is how long a host that starts waits for the list of hosts before it takes itself
	// for the only one.
	hostListWait = 2 * time.Second
)

// shardState is what a host knows about shards. The zero value is ready to use.
type shardState struct {
	maps map[string]*shard.Map
	// members are those by which maps divides each service, into shards of at least size of them.
	members map[string][]shard.Member
	size    int
	loads   shard.Loads
	// avoid contains the hosts that are not taken for owners until the given time.
	avoid map[string]time.Time
	// pending is the progress that is to be reported to each owner.
	pending map[string]*pendingProgress
	owned   ownedTickets
	// reported are the loads of the shards that this host owns, as they were computed at reportedAt.
	reported []*wire.ShardLoad
	// unstored is what the stores lack of the prompts that this host has placed.
	unstored   unstoredTokens
	reportedAt time.Time
}

// remoteTicket is an attempt that another host has placed.
type remoteTicket struct {
	owner  string
	ticket int64
	// placedAt is when the owner answered.
	placedAt time.Time
}

// sharded reports whether requests are placed by the owners of shards.
func (g *Gateway) sharded() bool {
	return g.ShardRelay != nil && g.Config.Shards.AboveHosts > 0 && g.ShardRelay.HostCount() > g.Config.Shards.AboveHosts
}

// awaitsHostList reports whether this host has just started and may not know the other hosts yet.
func (g *Gateway) awaitsHostList() bool {
	return g.ShardRelay != nil && g.Config.Shards.AboveHosts > 0 && g.ShardRelay.HostCount() <= 1 &&
		g.Clock.Now().Sub(g.started) < hostListWait
}

// updateShards divides the engines among shards anew. The lock must be held.
func (g *Gateway) updateShards(targets []fleet.Target) {
	if g.ShardRelay == nil || g.Config.Shards.AboveHosts == 0 {
		return
	}
	members := map[string][]shard.Member{}
	for i := range targets {
		if t := &targets[i]; len(t.Versions) > 0 {
			members[t.Service] = append(members[t.Service], shard.Member{ID: t.ID, Slots: t.Slots, Usable: !t.Leaving})
		}
	}
	size := g.Config.Shards.Targets
	if g.shards.maps != nil && size == g.shards.size && maps.EqualFunc(members, g.shards.members, slices.Equal) {
		return
	}
	g.shards.members, g.shards.size = members, size
	g.shards.maps = make(map[string]*shard.Map, len(members))
	for service, list := range members {
		g.shards.maps[service] = shard.NewMap(service, list, size)
	}
	g.shards.loads.Retain(g.knowsShard)
	g.shards.reportedAt = time.Time{}
}

// knowsShard reports whether this host divides the targets of a service into shards of which one has the
// given name. The lock must be held.
func (g *Gateway) knowsShard(name string) bool {
	for _, m := range g.shards.maps {
		if len(m.Members(name)) > 0 {
			return true
		}
	}
	return false
}

// shardOf returns the shard of a target, empty if it has none. The lock must be held.
func (g *Gateway) shardOf(t *fleet.Target) string {
	m := g.shards.maps[t.Service]
	if m == nil {
		return ""
	}
	name, _ := m.Of(t.ID)
	return name
}

// ShardOf returns the shard of a target, empty if it has none.
func (g *Gateway) ShardOf(target string) string {
	t, listed := g.Fleet.Find(target)
	if !listed || !g.sharded() {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shardOf(&t)
}

// ownerOf returns the host that this one takes for the owner of a shard, empty if there is none. The
// lock must be held.
func (g *Gateway) ownerOf(name string) string {
	now := g.Clock.Now()
	for _, host := range g.ShardRelay.ShardOwners(name, shardOwners) {
		if until, avoided := g.shards.avoid[host]; !avoided || !now.Before(until) {
			return host
		}
	}
	return ""
}

// ownsShard reports whether this host takes itself for the owner of the shard of a target. The lock
// must be held.
func (g *Gateway) ownsShard(t *fleet.Target) bool {
	name := g.shardOf(t)
	return name != "" && g.ownerOf(name) == g.Host
}

// coldGrantor reports whether the owner of a shard grants the requests of all hosts to a cold target,
// and whether this host is the one. The lock must be held.
func (g *Gateway) coldGrantor(target string) (self, exists bool) {
	if g.ColdGrantor != nil {
		return g.ColdGrantor(target)
	}
	t, listed := g.Fleet.Find(target)
	if !listed || !g.sharded() {
		return false, false
	}
	name := g.shardOf(&t)
	if name == "" {
		return false, false
	}
	// A host that avoids the owner for a moment does not grant in its place: each host avoids others by
	// itself, so that three hosts could grant half of the limit at the same time.
	owners := g.ShardRelay.ShardOwners(name, 1)
	return len(owners) > 0 && owners[0] == g.Host, true
}

// chooseByShard lets the owner of a shard place a request. It returns ok false if this host has to
// place it by its own view.
func (g *Gateway) chooseByShard(ctx context.Context, req *placement.Request, w *work.Work) (at *attempt, none noChoice, ok bool) {
	if w.Model == "" || len(w.Parts) == 0 || !g.sharded() {
		return nil, noChoice{}, false
	}
	picked := g.pickShards(req, w)
	if g.Config.Shards.Queue {
		return g.chooseByQueue(ctx, &picked, req, w)
	}
	for _, name := range []string{picked.first, picked.second} {
		if name == "" {
			continue
		}
		at, refused, decided := g.placeIn(ctx, name, req, w)
		if !decided {
			// Hosts without a view place prompts that share a part on the same target of the shard, whose
			// owner learns of that by the cache events.
			at, _ = g.chooseAlone(name, req, w)
			g.count("shards.undecided")
		}
		if at != nil {
			return at, noChoice{}, true
		}
		if decided && (!ok || refused.until.Before(none.until)) {
			none = refused
		}
		ok = ok || decided
	}
	if ok {
		at = g.chooseLocally(req, w)
	}
	return at, none, ok
}

// chooseLocally places a request on a target on which only this host itself places its requests. It
// returns nil if there is none or if none takes the request.
func (g *Gateway) chooseLocally(req *placement.Request, w *work.Work) *attempt {
	own := *req
	own.Exclude = slices.Clone(req.Exclude)
	any := false
	g.mu.Lock()
	if m := g.shards.maps[w.Service]; m != nil {
		for _, name := range m.Names() {
			for _, target := range m.Members(name) {
				if g.placedLocally(target) {
					any = true
				} else {
					own.Exclude = append(own.Exclude, target)
				}
			}
		}
	}
	g.mu.Unlock()
	if !any {
		return nil
	}
	at, _ := g.choose(&own, w)
	return at
}

// pickedShards are the shards of a request.
type pickedShards struct {
	// first is the one on whose targets the request is to be placed, second the one that is asked if that
	// has no room, empty if there is none.
	first, second string
	// reread is the time that reading the shared parts again costs at the second one.
	reread time.Duration
}

// pickShards returns the shards of a request.
func (g *Gateway) pickShards(req *placement.Request, w *work.Work) pickedShards {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.shards.maps[w.Service]
	if m == nil {
		return pickedShards{}
	}
	first, second := m.Pick(req.Affinity)
	if second == "" {
		return pickedShards{first: first}
	}
	shared := req.PromptTokens - w.Parts[len(w.Parts)-1].Tokens
	now := g.Clock.Now()
	refetch := time.Duration(g.shards.loads.Unstored(now, first) * float64(shared) / g.Config.PrefillTokensPerSecond * float64(time.Second))
	if g.shards.loads.Choose(now, first, second, w.Priority, refetch) == second {
		// The shard that the key selects first has the shared parts.
		return pickedShards{first: second, second: first}
	}
	return pickedShards{first: first, second: second, reread: refetch}
}

// recordShardLoad keeps the load that an owner states about the shard of a target. The lock must be
// held.
func (g *Gateway) recordShardLoad(now time.Time, l *wire.ShardLoad) {
	if l == nil || l.Shard == "" {
		return
	}
	load := shard.Load{Wait: seconds(l.Wait), Memory: float64(l.Memory), Unstored: float64(l.Unstored)}
	for _, wait := range l.Waits {
		load.Waits = append(load.Waits, seconds(wait))
	}
	g.shards.loads.Record(now, l.Shard, load)
}

func seconds(s float32) time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// avoidOwner takes another host for the owner of its shards for some time.
func (g *Gateway) avoidOwner(owner string, err error) {
	avoidFor := avoidOwnerFor
	switch {
	case errors.Is(err, peer.ErrUnknownCall):
		avoidFor = avoidEarlierFor
	case g.ShardRelay.Starting():
		avoidFor = avoidStartingFor
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if g.shards.avoid == nil {
		g.shards.avoid = map[string]time.Time{}
	}
	if until := g.shards.avoid[owner]; now.Before(until) {
		return
	}
	maps.DeleteFunc(g.shards.avoid, func(_ string, until time.Time) bool { return !now.Before(until) })
	g.shards.avoid[owner] = now.Add(avoidFor)
	g.count("shards.ownersAvoided")
	g.Log.Info().Str("part", "shards").Str("owner", owner).Err(err).Dur("for", avoidFor).Msg("shards: host places no requests for this one, another host is asked")
}
