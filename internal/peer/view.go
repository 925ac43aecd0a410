package peer

import (
	"slices"
	"strings"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/placement"
)

// HostState is the state of an entry host as known to this host.
type HostState struct {
	Name             string `json:"name"`
	FailureDomain    string `json:"failureDomain"`
	Status           string `json:"status"`
	Incarnation      int64  `json:"incarnation"`
	Revision         int64  `json:"revision"`
	Ready            bool   `json:"ready"`
	RequestsInFlight int    `json:"requestsInFlight"`
	// ReportAge is the time since the last report of the host arrived, in nanoseconds.
	// It is 0 for this host and for a host that has sent no report.
	ReportAge time.Duration `json:"reportAge"`
	// Build is the version of its binary, and Protocol that of its messages, 0 if it announces none.
	Build    string `json:"build"`
	Protocol int    `json:"protocol"`
}

func (s *HostState) setReport(report *Report) {
	s.Revision = report.Revision
	s.Ready = report.Ready
	s.RequestsInFlight = report.RequestsInFlight
}

// HostCount returns the number of live entry hosts, including this one.
func (g *Group) HostCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.starting() {
		return g.members.ListedCount()
	}
	return g.members.AliveCount()
}

// HostRank returns the number of other live entry hosts that have a higher rendezvous hash for
// a name than this one.
func (g *Group) HostRank(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rank(name)
}

// startTime is the time in which a host that has started hears of all others.
const startTime = 5 * time.Second

// starting reports whether this host may not have heard of all others yet. It then takes those that
// are known from the list of hosts only for alive, so that hosts which start at the same time agree
// on their roles, and don't all take every role. The caller must hold g.mu.
func (g *Group) starting() bool { return g.CollectLoads && g.Clock.Now().Sub(g.startedAt) < startTime }

// rank returns the number of other live hosts with a higher rendezvous hash for a name. The caller must
// hold g.mu.
func (g *Group) rank(name string) int {
	if g.starting() {
		return g.members.ListedRank(name)
	}
	return g.members.Rank(name)
}

// owners returns the names of up to n live hosts with the highest rendezvous hashes for a name. The
// caller must hold g.mu.
func (g *Group) owners(name string, n int) []string {
	if g.starting() {
		return g.members.ListedOwners(name, n)
	}
	return g.members.Owners(name, n)
}

// KnownHosts returns the number of entry hosts that have been known within the last ForgetAfter,
// dead or alive, including this one. It returns false if this host can't know the others, since it
// has neither read the list of hosts nor received a message from one.
func (g *Group) KnownHosts() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.members.KnownCount()
	return n, n > 1 || g.listRead
}

// KnownRank returns the number of other entry hosts that KnownHosts counts and that have a higher
// rendezvous hash for a name than this one.
func (g *Group) KnownRank(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.KnownRank(name)
}

// States returns the state of all entry hosts known to this host.
func (g *Group) States() []HostState {
	own := g.ownReport()
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var states []HostState
	for _, m := range g.members.Members() {
		state := HostState{Name: m.Name, FailureDomain: m.FailureDomain, Status: m.Status.String(), Incarnation: m.Incarnation, Build: buildName(&m), Protocol: m.Protocol}
		if m.Name == g.Self.Name {
			state.setReport(&own)
		} else if received, ok := g.reports[m.Name]; ok {
			state.setReport(&received.report)
			state.ReportAge = now.Sub(received.at)
		}
		states = append(states, state)
	}
	return states
}

// IsOwner reports whether this host owns a name, that is, has the highest
// rendezvous hash for it. While views of the membership differ, two hosts or none
// may own a name.
func (g *Group) IsOwner(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Owner(name) == g.Self.Name
}

// eachFreshReport calls f for each report of a live peer that is no older than
// reportMaxAge, and returns whether every live peer has one. The caller must hold
// g.mu.
func (g *Group) eachFreshReport(f func(report *Report, age time.Duration)) bool {
	return g.eachReport(reportMaxAge, f)
}

// eachReport is eachFreshReport with another maximum age. Peers with incarnation 0 do not
// count, because they are known only from the host list. The caller must hold g.mu.
func (g *Group) eachReport(maxAge time.Duration, f func(report *Report, age time.Duration)) bool {
	now := g.Clock.Now()
	fresh := 0
	for name, received := range g.reports {
		if now.Sub(received.at) > maxAge {
			continue
		}
		if m, known := g.members.Get(name); known && m.Status == membership.Alive && m.Incarnation > 0 {
			f(&received.report, now.Sub(received.at))
			fresh++
		}
	}
	return fresh == g.members.AliveCount()-1
}

// ReadyPeers returns the live peers that take requests, according to their reports.
func (g *Group) ReadyPeers() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []membership.Member
	now := g.Clock.Now()
	for name, received := range g.reports {
		if !received.report.Ready || now.Sub(received.at) > reportMaxAge {
			continue
		}
		if m, known := g.members.Get(name); known && m.Status == membership.Alive && m.Incarnation > 0 {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Loads returns the load that live peers have placed on each target, added up over
// the peers. The slowness is the highest that a peer reported.
func (g *Group) Loads() map[string]placement.TargetLoad {
	loads := map[string]placement.TargetLoad{}
	if g.CollectLoads {
		if others, age, ok := g.othersCollected(); ok {
			for _, l := range others {
				l.Age += age
				loads[l.Target] = l
			}
			return loads
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.eachReport(g.LoadMaxAge, func(report *Report, age time.Duration) {
		for _, l := range report.Loads {
			sum := loads[l.Target]
			if total := sum.Requests + l.Requests; total > 0 {
				// The mean age of the requests.
				sum.Age += (age - sum.Age) * time.Duration(l.Requests) / time.Duration(total)
			}
			sum.Requests += l.Requests
			sum.PrefillTokens += l.PrefillTokens
			sum.HeldTokens += l.HeldTokens
			sum.Slowness = max(sum.Slowness, l.Slowness)
			addPace(&sum, &l, age)
			loads[l.Target] = sum
		}
	})
	return loads
}

// InFlight returns the number of requests that live peers have admitted or queued,
// and whether every live peer has a fresh report with a complete demand.
func (g *Group) InFlight() (requests int, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	partial := false
	fresh = g.eachFreshReport(func(report *Report, _ time.Duration) {
		requests += report.RequestsInFlight
		partial = partial || report.DemandPartial
	})
	return requests, fresh && !partial
}

// AccountDemand returns the demand of a client account on all peers, and whether
// every live peer has a fresh report with a complete demand.
func (g *Group) AccountDemand(account string) (tokensPerSecond float64, inFlight int, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	partial := false
	fresh = g.eachFreshReport(func(report *Report, _ time.Duration) {
		partial = partial || report.DemandPartial
		for _, d := range report.Demands {
			if d.Account == account {
				tokensPerSecond += d.TokensPerSecond
				inFlight += d.InFlight
			}
		}
	})
	return tokensPerSecond, inFlight, fresh && !partial
}
