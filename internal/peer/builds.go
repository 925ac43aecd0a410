package peer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasplank.example/sassafrasplank/internal/common/version"
	"sassafrasplank.example/sassafrasplank/internal/membership"
)

// Protocol is the version of the messages between hosts of this build. Hosts announce it as
// Member.protocol. The lowest version among the live members is in force. A change that needs the
// agreement of all hosts gets the next version.
const Protocol = 1

const (
	// buildsInterval is the time between two looks at the builds of the members.
	buildsInterval = 2 * time.Second
	// buildsSettle is how long the builds have to stay the same before they are logged, and
	// buildsMaxDelay the longest time between a change and its log line.
	buildsSettle   = 10 * time.Second
	buildsMaxDelay = time.Minute
	// maxLoggedBuilds limits the builds in a log line.
	maxLoggedBuilds = 16
)

// Builds says which builds are in the group.
type Builds struct {
	// InForce is the lowest protocol of the live members.
	InForce int
	// Hosts is the number of live members by their protocol, 0 for builds that announce none.
	// Those above the protocol of this host count as one above it.
	Hosts map[int]int
	// Names are the distinct builds, sorted. One that isn't known is version.Unknown.
	Names []string
}

func (b *Builds) equal(other *Builds) bool {
	return b.InForce == other.InForce && slices.Equal(b.Names, other.Names)
}

// buildName returns the name of the build of a member.
func buildName(m *membership.Member) string {
	if m.Build == "" {
		return version.Unknown
	}
	return m.Build
}

// Builds returns the builds of the live members, including this host.
func (g *Group) Builds() Builds {
	g.mu.Lock()
	members := g.members.Members()
	g.mu.Unlock()
	b := Builds{InForce: g.Self.Protocol, Hosts: map[int]int{}}
	names := map[string]bool{}
	for _, m := range members {
		if m.Name != g.Self.Name && (m.Status != membership.Alive || m.Incarnation == 0) {
			continue
		}
		b.InForce = min(b.InForce, m.Protocol)
		b.Hosts[min(m.Protocol, Protocol+1)]++
		names[buildName(&m)] = true
	}
	b.Names = slices.Sorted(maps.Keys(names))
	return b
}

// RegisterBuilds adds gauges with the number of live members by protocol, the protocol in force
// and the number of builds.
func (g *Group) RegisterBuilds(registry metrics.Registry) {
	gauge := func(name string, value func(b Builds) int) {
		metrics.NewRegisteredFunctionalGauge(name, registry, func() int64 { return int64(value(g.Builds())) })
	}
	gauge("hosts.builds", func(b Builds) int { return len(b.Names) })
	gauge("hosts.protocolInForce", func(b Builds) int { return b.InForce })
	for protocol := range Protocol + 1 {
		gauge(fmt.Sprintf("hosts.protocol%d", protocol), func(b Builds) int { return b.Hosts[protocol] })
	}
	gauge("hosts.protocolLater", func(b Builds) int { return b.Hosts[Protocol+1] })
}

// buildsLog decides when the builds of the group are logged.
type buildsLog struct {
	last, logged         Builds
	changedAt, differsAt time.Time
}

// due reports whether the builds are to be logged. Members that come and go don't fill the log.
func (l *buildsLog) due(now time.Time, b Builds) bool {
	if !b.equal(&l.last) {
		l.last, l.changedAt = b, now
	}
	if b.equal(&l.logged) {
		l.differsAt = time.Time{}
		return false
	}
	if l.differsAt.IsZero() {
		l.differsAt = now
	}
	if now.Sub(l.changedAt) < buildsSettle && now.Sub(l.differsAt) < buildsMaxDelay {
		return false
	}
	l.logged, l.differsAt = b, time.Time{}
	return true
}

// watchBuilds logs the builds of the group when they have changed.
func (g *Group) watchBuilds(context.Context) {
	b := g.Builds()
	if !g.builds.due(g.Clock.Now(), b) {
		return
	}
	hosts := 0
	for _, n := range b.Hosts {
		hosts += n
	}
	g.Log.Info().Str("part", "peers").Strs("builds", b.Names[:min(len(b.Names), maxLoggedBuilds)]).Int("buildCount", len(b.Names)).
		Int("protocolInForce", b.InForce).Int("ownProtocol", g.Self.Protocol).Int("hosts", hosts).Int("hostsBeforeProtocols", b.Hosts[0]).
		Msg("peers: builds in the group")
}
