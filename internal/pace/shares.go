package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// probeRate is the number of requests per second that all hosts together send each target, so
	// that they notice a change of its speed. maxProbeShare limits the share of these requests.
	probeRate     = 1
	maxProbeShare = 0.02
	// rateMargin is the factor of the measured rate for which the requests are divided, since
	// rising rates are known late.
	rateMargin = 1.2
	// drainTime is the time in seconds that it takes a target to complete the waiting requests at
	// which it gets only probes. With 0.25 s hosts turned away from targets, and back, faster than
	// they hear of each other.
	drainTime = 1
	// sameSpeed is the relative difference from the median time of a service up to which a target
	// counts as being as fast, since measured times vary.
	sameSpeed = 0.15
	// startTime is the time in seconds after the first sight of a target until which its rate is
	// not fully known.
	startTime = 3
	// staysAlone is the ratio of the samples of this host to those of others below which it isn't
	// alone any more. Two hosts with as many requests would otherwise change to and fro.
	staysAlone = 0.5
	// probeOnly is the part of its limit for which a target counts that should get only probes.
	probeOnly = 0.001
)

// Member is one of the targets among which the requests of a service are divided.
type Member struct {
	Target *Target
	// InFlight is the number of requests of all hosts in flight, as known now.
	InFlight int
	// Slowness is the factor by which the target is slower than its samples show, at least 1.
	Slowness float64
	// Penalty are seconds that count against the target.
	Penalty float64
	// Unusable is set for a target that gets no requests at present.
	Unusable bool
}

// Division is how the requests of a service are divided.
type Division struct {
	// Shares are the shares of the targets, in the order of the members.
	Shares []float64
	// Usual is the median time of a request that doesn't wait, in seconds.
	Usual float64
	// Alone is set if this host has most of the samples. It then knows the present load, and a
	// division by rates would be worse.
	Alone bool
}

// Divide divides the requests of a service. alone tells whether the last division had Alone set.
func Divide(now time.Time, members []Member, alone bool) Division {
	var d Division
	services := make([]float64, 0, len(members))
	own, peers := 0.0, 0.0
	for _, m := range members {
		o, p := m.Target.known(now)
		own, peers = own+o, peers+p
		if s := m.Target.Service(now); s > 0 {
			services = append(services, s)
		}
	}
	if alone {
		peers *= staysAlone
	}
	if own >= peers || len(services) == 0 {
		d.Alone = true
		return d
	}
	slices.Sort(services)
	d.Usual = services[(len(services)-1)/2]
	capacities := make([]Capacity, len(members))
	rate, startRate := 0.0, 0.0
	for i := range members {
		m := &members[i]
		capacities[i] = m.capacity(now, d.Usual)
		rate += m.Target.rate()
		observed := now.Sub(m.Target.startAt).Seconds()
		startRate += max(0, 1-observed/startTime) * capacities[i].throughput()
	}
	d.Shares = Split(rateMargin*(rate+startRate), capacities)
	least := min(maxProbeShare, probeRate/rate)
	for i := range d.Shares {
		d.Shares[i] = max(least, d.Shares[i])
	}
	return d
}

// capacity returns what a target handles now. Requests that already wait there take from it.
func (m *Member) capacity(now time.Time, usual float64) Capacity {
	service, limit := m.Target.Service(now), m.Target.Limit(now)
	if service == 0 || math.Abs(service/usual-1) < sameSpeed {
		service = usual
	}
	c := Capacity{Seconds: service * max(1, m.Slowness), Limit: limit, Penalty: m.Penalty}
	waiting := max(0, float64(m.InFlight)-limit)
	drain := waiting * c.Seconds / limit
	if waiting > limit/2 {
		// It is busy all the time, so that the rate shows how fast it is, also if it has just
		// become slower.
		drain = max(drain, waiting/m.Target.rate())
	}
	c.Limit *= max(probeOnly, 1-drain/drainTime)
	if m.Unusable {
		c.Limit = probeOnly
	}
	return c
}
