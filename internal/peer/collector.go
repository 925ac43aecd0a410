package peer

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/twitchtv/twirp"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
)

// With few hosts, each learns the loads of all others from the reports in exchanges. With
// many, it would meet each of them too seldom. Some hosts, the collectors, then add up the
// loads of the hosts that report to them, and exchange the sums among each other, so that
// every host gets the sum over all hosts with each report. The collectors are chosen by
// the hashes of their names. Two hosts that disagree on them for a moment count a load
// twice or not at all until it has expired.
const (
	// collectAbove is the number of hosts above which loads are collected.
	collectAbove = 12
	// collectInterval is the time between two reports of a host to its collector, and
	// between two exchanges of sums among collectors.
	collectInterval = 250 * time.Millisecond
	// collectedMaxAge is how long loads and sums are used.
	collectedMaxAge = 4 * collectInterval
	// collectorsName is the name by whose hashes the collectors are chosen.
	collectorsName = "collectors"
)

// collectedLoads are loads and when they were received.
type collectedLoads struct {
	loads []placement.TargetLoad
	at    time.Time
}

// loadCollector holds the loads that a host has collected, or received from its collector.
type loadCollector struct {
	mu sync.Mutex
	// reported are the loads of the hosts that report to this one, and sums those of
	// other collectors, by host.
	reported, sums map[string]collectedLoads
	// others are the loads of all other hosts, as the collector of this host answered.
	others collectedLoads

	// adding is held while added is replaced.
	adding sync.Mutex
	// added are the loads of all hosts, added up for the answers to several of them. It is nil at first.
	added *addedLoads
}

// collectorCount returns the number of collectors of n hosts, which balances the hosts
// that report to a collector and the collectors among which sums are exchanged.
func collectorCount(n int) int {
	if n <= collectAbove {
		return 0
	}
	return int(math.Ceil(math.Sqrt(float64(n))))
}

// collectors returns the names of the collectors, none with few hosts.
func (g *Group) collectors() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Owners(collectorsName, collectorCount(g.members.AliveCount()))
}

// collectorOf returns the collector to which a host reports, in its own failure domain if
// there is one.
func (g *Group) collectorOf(collectors []string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var near []string
	for _, name := range collectors {
		if m, known := g.members.Get(name); known && m.FailureDomain == g.Self.FailureDomain {
			near = append(near, name)
		}
	}
	if len(near) == 0 {
		near = collectors
	}
	return g.members.Nearest(g.Self.Name, near)
}

// collectLoads reports the loads of this host to its collector. If it is a collector
// itself, it exchanges sums with the others.
func (g *Group) collectLoads(ctx context.Context) {
	collectors := g.collectors()
	collects := slices.Contains(collectors, g.Self.Name)
	g.roles.set("loadCollector", collects, g.Log, func(entry *log.Entry) { entry.Strs("collectors", collectors) })
	if len(collectors) == 0 {
		return
	}
	if collects {
		g.exchangeSums(ctx, collectors)
		return
	}
	own := g.Local.PeerLoads()
	loads, err := g.callCollector(ctx, g.collectorOf(collectors), &wire.CollectLoadsRequest{Host: g.Self.Name, Loads: encodeLoads(own)})
	if err != nil {
		return // The loads in use expire.
	}
	g.collected.mu.Lock()
	defer g.collected.mu.Unlock()
	g.collected.others = collectedLoads{loads, g.Clock.Now()}
}

// exchangeSums exchanges sums with the collectors whose names are lower. Those with higher
// names call this host.
func (g *Group) exchangeSums(ctx context.Context, collectors []string) {
	sum := g.addedUp().collected
	var calls sync.WaitGroup
	for _, name := range collectors {
		if name >= g.Self.Name {
			continue
		}
		calls.Go(func() {
			loads, err := g.callCollector(ctx, name, &wire.CollectLoadsRequest{Host: g.Self.Name, Collector: true, Loads: sum})
			if err == nil {
				g.collected.keep(g.Clock.Now(), name, true, loads)
			}
		})
	}
	calls.Wait()
}

func (g *Group) callCollector(ctx context.Context, name string, request *wire.CollectLoadsRequest) ([]placement.TargetLoad, error) {
	g.mu.Lock()
	m, _ := g.members.Get(name)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, collectedMaxAge)
	defer cancel()
	response, err := wire.NewPeerProtobufClient(m.URL, g.client).CollectLoads(ctx, request)
	if err != nil {
		g.collectorFailed(name, err)
		return nil, err
	}
	loads, err := decodeLoads(response.Loads)
	g.logUnusable(&m, err)
	return loads, nil
}

// collectorFailed makes a collector that gave no answer a suspect, so that the next report
// goes to another one. A host of an earlier build answers that it doesn't collect.
func (g *Group) collectorFailed(name string, err error) {
	var answered twirp.Error
	if errors.As(err, &answered) && answered.Code() == twirp.BadRoute || g.logRejection(name, "CollectLoads", err) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.Failed(g.Clock.Now(), name)
}

// CollectLoads takes the loads of a host or the sums of a collector.
func (s *server) CollectLoads(_ context.Context, request *wire.CollectLoadsRequest) (*wire.CollectLoadsResponse, error) {
	g := s.group
	if request.Host == "" || len(request.Host) > maxNameBytes {
		return nil, twirp.InvalidArgumentError("host", "the name of the host is missing or too long")
	}
	loads, err := decodeLoads(request.Loads)
	sender := g.member(request.Host)
	g.logUnusable(&sender, err)
	g.collected.keep(g.Clock.Now(), request.Host, request.Collector, loads)
	added := g.addedUp()
	if request.Collector {
		return &wire.CollectLoadsResponse{Loads: added.collected}, nil
	}
	return &wire.CollectLoadsResponse{Loads: added.without(request.Host)}, nil
}

// keep stores the loads that a host reported or the sums of a collector.
func (c *loadCollector) keep(now time.Time, host string, collector bool, loads []placement.TargetLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reported == nil {
		c.reported, c.sums = map[string]collectedLoads{}, map[string]collectedLoads{}
	}
	if collector {
		c.sums[host] = collectedLoads{loads, now}
		return
	}
	c.reported[host] = collectedLoads{loads, now}
}

// fresh returns the loads in a map that have not expired, and deletes the others.
func fresh(now time.Time, from map[string]collectedLoads) map[string][]placement.TargetLoad {
	loads := make(map[string][]placement.TargetLoad, len(from))
	for host, c := range from {
		if now.Sub(c.at) > collectedMaxAge {
			delete(from, host)
			continue
		}
		loads[host] = aged(c.loads, now.Sub(c.at))
	}
	return loads
}

// fresh returns the loads of the hosts that report to this one, and the sums of other collectors.
func (c *loadCollector) fresh(now time.Time) (reported, sums map[string][]placement.TargetLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fresh(now, c.reported), fresh(now, c.sums)
}

// othersCollected returns the loads of all other hosts and their age. It returns false if
// they are not collected, or if this host has no recent answer of a collector.
func (g *Group) othersCollected() (loads []placement.TargetLoad, age time.Duration, ok bool) {
	collectors := g.collectors()
	if len(collectors) == 0 {
		return nil, 0, false
	}
	if slices.Contains(collectors, g.Self.Name) {
		reported, sums := g.collected.fresh(g.Clock.Now())
		return addLoads(append(slices.Collect(maps.Values(reported)), slices.Collect(maps.Values(sums))...)...), collectInterval, true
	}
	g.collected.mu.Lock()
	defer g.collected.mu.Unlock()
	answered := g.Clock.Now().Sub(g.collected.others.at)
	// On average, loads are half an interval old at the collector of their host and its
	// sum another half at the collector of this one.
	return aged(g.collected.others.loads, answered), collectInterval + answered, answered <= collectedMaxAge
}

// addLoads adds up loads by target. The slowness is the highest.
func addLoads(lists ...[]placement.TargetLoad) []placement.TargetLoad {
	numbers := map[string]int{}
	var sums []placement.TargetLoad
	for _, list := range lists {
		for _, l := range list {
			number, known := numbers[l.Target]
			if !known {
				numbers[l.Target] = len(sums)
				l.Pace = l.Pace.Clone()
				sums = append(sums, l)
				continue
			}
			sum := &sums[number]
			sum.Requests += l.Requests
			sum.PrefillTokens += l.PrefillTokens
			sum.HeldTokens += l.HeldTokens
			sum.Slowness = max(sum.Slowness, l.Slowness)
			addPace(sum, &l, 0)
		}
	}
	return sums
}

// runCollection collects loads until ctx ends.
func (g *Group) runCollection(ctx context.Context) {
	clock.Every(ctx, g.Clock, collectInterval, g.collectLoads)
}
