package peer

import (
	"maps"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/pace"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/placement"
)

// addedLoadsFor is how long added loads are used. Each of the hosts that report to a collector, and each
// other collector, asks once in collectInterval. Adding up for each of them would cost the product of hosts
// and targets.
const addedLoadsFor = collectInterval / 4

// addedLoads are the loads of all hosts as a collector knows them, added up by target. They are replaced and
// never changed. The encoded messages are shared by all answers.
type addedLoads struct {
	at time.Time
	// reported are those of the hosts that report to this collector, and of itself, by host, and sums those
	// of other collectors.
	reported, sums map[string][]placement.TargetLoad
	// collected is the sum of reported.
	collected []*wire.TargetLoad
	// totals is the sum of all, in the order of the targets, whose numbers it has.
	totals  []totalLoad
	numbers map[string]int
	// paced is set if any load has sums of times, which can't be subtracted.
	paced bool
}

// totalLoad is the load of all hosts on a target.
type totalLoad struct {
	placement.TargetLoad

	encoded *wire.TargetLoad
	// loads is the number of loads that were added up, and nextSlowness the second highest slowness.
	loads        int
	nextSlowness float64
}

// addedUp returns the loads of all hosts, added up less than addedLoadsFor ago.
func (g *Group) addedUp() *addedLoads {
	now := g.Clock.Now()
	g.collected.adding.Lock()
	defer g.collected.adding.Unlock()
	if added := g.collected.added; added != nil && now.Sub(added.at) < addedLoadsFor {
		return added
	}
	added := &addedLoads{at: now, numbers: map[string]int{}}
	added.reported, added.sums = g.collected.fresh(now)
	added.reported[g.Self.Name] = g.Local.PeerLoads()
	added.collected = encodeLoads(addLoads(slices.Collect(maps.Values(added.reported))...))
	added.addAll()
	g.collected.added = added
	return added
}

func (a *addedLoads) addAll() {
	for _, lists := range []map[string][]placement.TargetLoad{a.reported, a.sums} {
		for _, list := range lists {
			for i := range list {
				a.add(&list[i])
				a.paced = a.paced || !list[i].Pace.Empty()
			}
		}
	}
	for i := range a.totals {
		a.totals[i].encoded = encodeLoad(&a.totals[i].TargetLoad)
	}
}

func (a *addedLoads) add(l *placement.TargetLoad) {
	number, known := a.numbers[l.Target]
	if !known {
		a.numbers[l.Target] = len(a.totals)
		a.totals = append(a.totals, totalLoad{TargetLoad: *l, loads: 1})
		a.totals[len(a.totals)-1].Pace = pace.Sums{}
		return
	}
	total := &a.totals[number]
	total.loads++
	total.Requests += l.Requests
	total.PrefillTokens += l.PrefillTokens
	total.HeldTokens += l.HeldTokens
	total.nextSlowness = max(total.nextSlowness, min(total.Slowness, l.Slowness))
	total.Slowness = max(total.Slowness, l.Slowness)
}

// without returns the loads of all hosts but one that reports to this collector.
func (a *addedLoads) without(host string) []*wire.TargetLoad {
	if a.paced {
		reported := maps.Clone(a.reported)
		delete(reported, host)
		return encodeLoads(addLoads(append(slices.Collect(maps.Values(reported)), slices.Collect(maps.Values(a.sums))...)...))
	}
	encoded := make([]*wire.TargetLoad, len(a.totals))
	for i := range a.totals {
		encoded[i] = a.totals[i].encoded
	}
	for i := range a.reported[host] {
		own := &a.reported[host][i]
		number := a.numbers[own.Target]
		encoded[number] = a.totals[number].less(own)
	}
	return slices.DeleteFunc(encoded, func(l *wire.TargetLoad) bool { return l == nil })
}

// less returns the load on a target without one that was added, or nil if that was the only one.
func (t *totalLoad) less(l *placement.TargetLoad) *wire.TargetLoad {
	if t.loads == 1 {
		return nil
	}
	rest := t.TargetLoad
	rest.Requests -= l.Requests
	// Differences of sums may be a little below zero.
	rest.PrefillTokens = max(0, rest.PrefillTokens-l.PrefillTokens)
	rest.HeldTokens = max(0, rest.HeldTokens-l.HeldTokens)
	if l.Slowness == t.Slowness {
		rest.Slowness = t.nextSlowness
	}
	return encodeLoad(&rest)
}
