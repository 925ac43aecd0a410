package peer

import (
	"context"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// HostsListed applies a host list as soon as it changes. Otherwise it is read at intervals only.
func (g *Group) HostsListed(hosts []platform.Host) { g.applyHostList(hosts) }

// readHostList reads the host list. A host that knows no live peer also asks the seeds
// for their members.
func (g *Group) readHostList(ctx context.Context) {
	hosts, err := g.HostList.Hosts(ctx)
	if err == nil {
		g.applyHostList(hosts)
	}
	g.mu.Lock()
	alone := g.members.AliveCount() == 1
	g.mu.Unlock()
	if !alone {
		return
	}
	for _, seed := range g.Seeds {
		g.exchange(ctx, "", seed)
		if err := g.fetchMembers(ctx, seed); err != nil {
			g.Log.Warn().Str("part", "peers").Str("seed", seed).Err(err).Msg("peers: reading the members from a seed failed")
		}
	}
}

func (g *Group) applyHostList(hosts []platform.Host) {
	g.mu.Lock()
	listed := map[string]bool{}
	var leaving []string
	for _, host := range hosts {
		switch {
		case host.Kind == "target" && host.Leaving:
			leaving = append(leaving, host.Name)
		case host.Kind == "entry" && !host.Leaving:
			listed[host.Name] = true
			if _, known := g.members.Get(host.Name); !known && host.Name != g.Self.Name {
				g.members.Merge(g.Clock.Now(), []membership.Member{{Name: host.Name, URL: host.URL, FailureDomain: host.FailureDomain}})
			}
		}
	}
	g.listedHosts = listed
	g.setCapacities(hosts)
	g.listRead = g.listRead || len(listed) > 0
	g.mu.Unlock()
	for _, name := range leaving {
		if g.Watcher != nil {
			g.Watcher.TargetLeaving(name)
		}
	}
}

// setCapacities sets the capacities that entry hosts state. Members without a row keep the capacity that they
// stated last: after the table service has lost the rows, hosts write them again over a second, and the shards
// would move with each row. The caller must hold g.mu.
func (g *Group) setCapacities(hosts []platform.Host) {
	stated := map[string]float64{}
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		if host.Kind != "entry" {
			continue
		}
		listed[host.Name] = true
		if host.Capacity > 0 {
			stated[host.Name] = host.Capacity
		}
	}
	for name, capacity := range g.capacities {
		if _, known := g.members.Get(name); !listed[name] && (known || name == g.Self.Name) {
			stated[name] = capacity
		}
	}
	g.capacities = stated
	g.members.SetCapacities(stated)
}
