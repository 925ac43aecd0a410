package peer

import (
	"time"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/placement"
)

// HostState is what this host knows of an entry host.
type HostState struct {
	Name             string        `json:"name"`
	FailureDomain    string        `json:"failureDomain"`
	Status           string        `json:"status"`
	Incarnation      int64         `json:"incarnation"`
	Revision         int64         `json:"revision"`
	Ready            bool          `json:"ready"`
	RequestsInFlight int           `json:"requestsInFlight"`
	ReportAge        time.Duration `json:"reportAge"`
}

func (s *HostState) take(report *Report) {
	s.Revision = report.Revision
	s.Ready = report.Ready
	s.RequestsInFlight = report.RequestsInFlight
}

// Hosts returns the number of live entry hosts, this one included.
func (g *Group) Hosts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.AliveCount()
}

// States lists the entry hosts as this host knows them.
func (g *Group) States() []HostState {
	own := g.ownReport()
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var states []HostState
	for _, m := range g.table.Members() {
		state := HostState{Name: m.Name, FailureDomain: m.FailureDomain, Status: m.Status.String(), Incarnation: m.Incarnation}
		if m.Name == g.Self.Name {
			state.take(&own)
		} else if told, ok := g.reports[m.Name]; ok {
			state.take(&told.report)
			state.ReportAge = now.Sub(told.at)
		}
		states = append(states, state)
	}
	return states
}

// IsOwner reports whether this host is the one to look after a name. Hosts with
// different views may both think so, or neither, for a while.
func (g *Group) IsOwner(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Owner(name) == g.Self.Name
}

// freshReports calls f for each report that is young enough, and returns
// whether every live peer has one. The lock must be held.
func (g *Group) freshReports(f func(report *Report)) bool {
	return g.reportsWithin(reportFor, f)
}

// reportsWithin is freshReports for reports of another age. The lock must be
// held.
func (g *Group) reportsWithin(age time.Duration, f func(report *Report)) bool {
	now := g.Clock.Now()
	all := true
	for _, m := range g.table.Members() {
		if m.Name == g.Self.Name || m.Status != membership.Alive || m.Incarnation == 0 {
			continue
		}
		told, ok := g.reports[m.Name]
		if !ok || now.Sub(told.at) > age {
			all = false
			continue
		}
		f(&told.report)
	}
	return all
}

// Loads returns what peers have placed on targets.
func (g *Group) Loads() map[string]placement.TargetLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := map[string]placement.TargetLoad{}
	g.reportsWithin(g.LoadMaxAge, func(report *Report) {
		for _, l := range report.Loads {
			sum := loads[l.Target]
			sum.Requests += l.Requests
			sum.PrefillTokens += l.PrefillTokens
			sum.HeldTokens += l.HeldTokens
			sum.Slowness = max(sum.Slowness, l.Slowness)
			loads[l.Target] = sum
		}
	})
	return loads
}

// InFlight returns the requests that peers run or hold, and whether the
// reports are fresh.
func (g *Group) InFlight() (requests int, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fresh = g.freshReports(func(report *Report) { requests += report.RequestsInFlight })
	return requests, fresh
}

// AccountDemand returns the demand of all peers for a client account, and
// whether the reports are fresh.
func (g *Group) AccountDemand(account string) (tokensPerSecond float64, inFlight int, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fresh = g.freshReports(func(report *Report) {
		for _, d := range report.Demands {
			if d.Account == account {
				tokensPerSecond += d.TokensPerSecond
				inFlight += d.InFlight
			}
		}
	})
	return tokensPerSecond, inFlight, fresh
}
