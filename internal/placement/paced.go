package placement

import (
	"math"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/pace"
)

const (
	// maxPacedRatio is the highest ratio of expected to delivered tokens of a window that counts as
	// the time of a step. A window without tokens tells little about the steps.
	maxPacedRatio = 10
	// divideInterval is the minimum time between two divisions of the requests of a pool.
	divideInterval = 50 * time.Millisecond
	// maxLacking limits the requests by which a target has got less than its share, which grow
	// while placements are not carried out.
	maxLacking = 2
)

// PaceParams configures the use of estimates how many requests targets handle well.
type PaceParams struct {
	// Plain divides the requests of plain services by the estimates. Engines adds a penalty to
	// engines that are used up to their limits.
	Plain, Engines bool
}

// pacePool is the state of the division of the requests of a pool, as of dividedAt.
type pacePool struct {
	division  pace.Division
	dividedAt time.Time
	members   []pace.Member
}

// setPace makes the placer estimate how many requests an engine handles well if that is configured.
// A new process begins anew.
func (b *Placer) setPace(now time.Time, e *engine, restarted bool) {
	if e.spec.Plain && !b.params.Pace.Plain || !e.spec.Plain && !b.params.Pace.Engines {
		e.pace = nil
		return
	}
	if e.pace == nil || restarted || e.pace.Slots() != max(1, e.spec.Slots) {
		e.pace = pace.NewTarget(now, e.spec.Slots)
		e.lacking = b.rng.Float64() // Otherwise hosts that start together would begin with the same target.
	}
}

// pacedLoad returns the number of requests at a target for its samples. Those of others are as
// reported: expectPeers knows only the mean of all targets after the time of a short request.
func (e *engine) pacedLoad() int {
	if e.spec.Plain {
		return e.inFlight + e.reported.Requests
	}
	return e.load()
}

// observeGap adds a window of the token rate.
func (e *engine) observeGap(now time.Time, ratio float64) {
	if e.pace != nil && e.load() > 0 {
		e.pace.ObserveStep(now, float64(e.load()), time.Duration(min(ratio, maxPacedRatio)*float64(e.spec.TokenGap)))
	}
}

// RecordServed records that a request was answered successfully. For plain services, the time until
// the answer began then counts as a time of the target.
func (b *Placer) RecordServed(now time.Time, t *Ticket) {
	if !t.active || t.first == 0 {
		return
	}
	if e := b.engines[t.engineNumber]; e.pace != nil && e.spec.Plain {
		e.pace.Observe(now, float64(t.load), t.first)
	}
}

// RecordFull records that a target refused a request for want of room.
func (b *Placer) RecordFull(now time.Time, target string) {
	if e := b.find(target); e != nil && e.pace != nil {
		e.pace.ObserveRefusal(now, float64(e.pacedLoad()))
	}
}

// pacedService replaces the expected time of a request at a plain service by the measured one of
// its target, so that a target which is always slower doesn't count as slowed as well.
func (p *enginePool) pacedService(now time.Time, e *engine, est *Estimate) {
	if e.pace == nil || !e.spec.Plain || p.pace.division.Usual == 0 {
		return
	}
	seconds := e.pace.Service(now)
	if seconds == 0 {
		seconds = p.pace.division.Usual
	}
	est.Prefill = seconds * est.Slowness
	est.Wait = max(0, float64(e.pacedLoad()+1)/e.pace.Limit(now)-1) * est.Prefill
}

// pacePenalty returns the penalty in seconds of an engine that has as many requests as it handles
// well. The steps of all its requests take longer beyond that, up to its slots.
func (e *engine) pacePenalty(now time.Time) float64 {
	if e.pace == nil || e.spec.Plain {
		return 0
	}
	limit := e.pace.Limit(now)
	excess := min(float64(e.load()+1), float64(e.spec.Slots)) - limit
	return answerWeight * max(0, excess) / limit * e.requestTime.Seconds()
}

// choosePaced selects the target of a plain service that lacks most requests of its share. All hosts
// learn the same loads late. If each chose the target that seems best, they would overload it until
// they learn of each other. It returns false if requests are not divided.
func (b *Placer) choosePaced(now time.Time, req *Request, d *Decision) bool {
	pool := b.pools[req.Model]
	if !b.params.Pace.Plain || !pool.engines[0].spec.Plain {
		return false
	}
	b.divide(now, pool, req)
	if pool.pace.division.Alone {
		return false
	}
	total := 0.0
	for i := range d.Considered {
		total += b.engines[d.Considered[i].engineNumber].share
	}
	if total == 0 {
		return false
	}
	chosen, most := 0, math.Inf(-1)
	for i := range d.Considered {
		e := b.engines[d.Considered[i].engineNumber]
		e.lacking = min(maxLacking, e.lacking+e.share/total)
		if e.lacking > most {
			chosen, most = i, e.lacking
		}
	}
	d.Chosen = d.Considered[chosen]
	d.Target = d.Chosen.Target
	d.Reason = ReasonShare
	return true
}

// divide divides the requests of a pool, at most once per divideInterval.
func (b *Placer) divide(now time.Time, pool *enginePool, req *Request) {
	if now.Sub(pool.pace.dividedAt) < divideInterval {
		return
	}
	pool.pace.dividedAt = now
	pool.pace.members = pool.pace.members[:0]
	for _, e := range pool.engines {
		m := pace.Member{
			Target: e.pace, InFlight: e.pacedLoad(), Slowness: b.slowness(now, pool, e),
			Penalty: failurePenaltySeconds * e.currentFailureShare(now), Unusable: !e.usable(),
		}
		if req.FailureDomain != "" && req.FailureDomain != e.spec.FailureDomain {
			m.Penalty += crossDomainPenaltySeconds
		}
		pool.pace.members = append(pool.pace.members, m)
	}
	pool.pace.division = pace.Divide(now, pool.pace.members, pool.pace.division.Alone)
	for i, e := range pool.engines {
		e.share = 0
		if !pool.pace.division.Alone {
			e.share = pool.pace.division.Shares[i]
		}
	}
}

// reportPace returns the sums of this host for other hosts.
func (e *engine) reportPace(now time.Time) pace.Sums {
	if e.pace == nil {
		return pace.Sums{}
	}
	return e.pace.Own(now)
}

const (
	// paceLogFactor is the factor by which the limit of a target or its time must have changed to
	// be reported, and paceLogInterval the minimum time between two reports of a target.
	paceLogFactor   = 1.5
	paceLogInterval = 5 * time.Second
)

// PaceChange is a change of the limit on requests in flight of a target, or of the time that its
// requests take.
type PaceChange struct {
	Target             string
	Slots              int
	Limit, FormerLimit float64
	// Took is the time of a request that doesn't wait, of a step for an engine.
	Took, FormerTook time.Duration
	// Share is the share of the requests of a plain service that the target should get.
	Share float64
}

// pacedReport is what PaceChanges last reported of a target.
type pacedReport struct {
	limit float64
	took  time.Duration
	at    time.Time
}

// PaceChanges returns the number of targets that handle fewer requests well than they have slots,
// and the changes since the last call.
func (b *Placer) PaceChanges(now time.Time) (limited int, changes []PaceChange) {
	for _, e := range b.engines {
		if e.removed || e.pace == nil {
			continue
		}
		c := PaceChange{
			Target: e.spec.Name, Slots: e.pace.Slots(), Limit: e.pace.Limit(now), FormerLimit: e.paceReported.limit, Share: e.share,
			Took: time.Duration(e.pace.Service(now) * float64(time.Second)), FormerTook: e.paceReported.took,
		}
		if c.Limit < float64(c.Slots) {
			limited++
		}
		if c.FormerLimit == 0 {
			c.FormerLimit = float64(c.Slots)
		}
		if now.Sub(e.paceReported.at) < paceLogInterval || c.Took == 0 || !differs(c.Limit, c.FormerLimit) && !differs(float64(c.Took), float64(c.FormerTook)) {
			continue
		}
		e.paceReported = pacedReport{c.Limit, c.Took, now}
		changes = append(changes, c)
	}
	return limited, changes
}

func differs(a, b float64) bool { return a > paceLogFactor*b || b > paceLogFactor*a }
