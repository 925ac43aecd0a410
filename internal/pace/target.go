// Package pace estimates how many concurrent requests a target handles well and how fast it is, from
// sums that hosts add up, and divides the requests of a service among its targets accordingly. It
// addresses services whose targets differ in speed, slow down before their slots are full, or
// change. It does no I/O, reads no clock and starts no goroutine. The caller serializes access.
package pace

import "time"

const (
	// fullShare is the share of the best throughput that a target reaches at its limit. A higher
	// share takes longer queues for little: an engine whose steps take 3.1 ms and 0.1 ms for each
	// of 64 requests reaches it at 48.
	fullShare = 0.9
	// minSamples is the weight of samples of a level from which it counts as known.
	minSamples = 3
	// raiseInterval is the time between two steps by which a limit is raised. It is longer than
	// it takes until all hosts know what the last step has changed. It doubles up to
	// maxRaiseInterval each time the limit turns out to be too high.
	raiseInterval    = time.Second
	maxRaiseInterval = 16 * time.Second
	// refreshInterval is the minimum time between two estimates without new samples.
	refreshInterval = 50 * time.Millisecond
	// A step of an engine that takes longer than momentFactor times the usual time counts only
	// once that has lasted for momentTime.
	momentFactor = 1.5
	momentTime   = time.Second
)

// Target tracks one target. NewTarget returns one that is ready to use.
type Target struct {
	slots int
	// step is the number of requests between two levels.
	step float64
	// own are the sums of this host as of ownAt, peers those of the others as of peersAt. total
	// are both as of refreshedAt.
	own, peers, total    Sums
	ownAt, peersAt       time.Time
	refreshedAt          time.Time
	limit                float64
	limitedAt            time.Time
	raiseAfter           time.Duration
	momentSince, startAt time.Time
}

// NewTarget returns a Target with the stated number of slots. Its limit is the number of slots
// until samples tell otherwise.
func NewTarget(now time.Time, slots int) *Target {
	slots = max(1, slots)
	return &Target{slots: slots, step: max(1, float64(slots)/levelsPerSlots), limit: float64(slots), startAt: now}
}

// Slots returns the number of slots.
func (t *Target) Slots() int { return t.slots }

// Observe adds the time of a request that was sent while the given number of requests were in
// flight, itself included.
func (t *Target) Observe(now time.Time, inFlight float64, took time.Duration) {
	if took <= 0 {
		return
	}
	t.decayOwn(now)
	t.own.add(inFlight/t.step, took.Seconds())
	t.refreshedAt = time.Time{}
}

// ObserveStep adds the time of a step of an engine. An engine that is slowed for a moment has more
// requests then, and would seem to be slowed by them, so steps that take much longer than usual at
// this load only count if that lasts.
func (t *Target) ObserveStep(now time.Time, inFlight float64, took time.Duration) {
	usual := t.Seconds(now, inFlight)
	if usual == 0 || took.Seconds() < momentFactor*usual {
		t.momentSince = time.Time{}
	} else if t.momentSince.IsZero() {
		t.momentSince = now
	}
	if t.momentSince.IsZero() || now.Sub(t.momentSince) >= momentTime {
		t.Observe(now, inFlight, took)
	}
}

// ObserveRefusal adds a request that the target refused for want of room.
func (t *Target) ObserveRefusal(now time.Time, inFlight float64) {
	t.decayOwn(now)
	t.own.addRefusal(inFlight / t.step)
	t.refreshedAt = time.Time{}
}

// Own returns the sums of this host for other hosts.
func (t *Target) Own(now time.Time) Sums {
	t.decayOwn(now)
	return t.own.trimmed()
}

// SetPeers sets the sums of the other hosts.
func (t *Target) SetPeers(now time.Time, sums *Sums) {
	t.peers, t.peersAt = sums.Clone(), now
	t.refreshedAt = time.Time{}
}

// Limit returns the number of concurrent requests that the target handles well, at most its slots.
func (t *Target) Limit(now time.Time) float64 {
	t.refresh(now)
	return t.limit
}

// Service returns the seconds that a request takes which doesn't wait for a slot, 0 if unknown: the
// mean of the samples, less the waits of those that had to wait. The throughput is a bound: a target
// that serves more than that must be faster.
func (t *Target) Service(now time.Time) float64 {
	t.refresh(now)
	samples, seconds := 0.0, 0.0
	for k := range t.total.Samples {
		waiting := max(1, float64(k)*t.step/float64(t.slots))
		samples += t.total.Samples[k]
		seconds += t.total.Seconds[k] / waiting
	}
	if samples == 0 {
		return 0
	}
	return min(seconds/samples, t.limit/t.rate())
}

// Seconds returns the mean time of the samples at the levels next to a number of requests in
// flight, 0 if there are none.
func (t *Target) Seconds(now time.Time, inFlight float64) float64 {
	t.refresh(now)
	low, share := level(inFlight / t.step)
	samples := (1-share)*at(t.total.Samples, low) + share*at(t.total.Samples, low+1)
	if samples == 0 {
		return 0
	}
	return ((1-share)*at(t.total.Seconds, low) + share*at(t.total.Seconds, low+1)) / samples
}

// Known reports whether the other hosts have observed the target more than this one has.
func (t *Target) known(now time.Time) (own, peers float64) {
	t.refresh(now)
	own = t.own.weight()
	return own, max(0, t.total.weight()-own)
}

// rate returns the number of samples per second.
func (t *Target) rate() float64 { return t.total.weight() / averageTime.Seconds() }

// refresh adds up the sums and adapts the limit: down to what the samples show, up by a step at a
// time, and only while the target is used up to its limit. What higher loads do to the target is
// forgotten while it doesn't get them, and is so found out again without a burst.
func (t *Target) refresh(now time.Time) {
	if now.Sub(t.refreshedAt) < refreshInterval {
		return
	}
	t.refreshedAt = now
	t.decayOwn(now)
	t.total = t.own.Clone()
	peers := t.peers
	peers.Age += now.Sub(t.peersAt)
	t.total.Add(&peers)
	known, used := t.knownLimit()
	switch {
	case known < t.limit:
		t.raiseAfter = min(maxRaiseInterval, max(raiseInterval, 2*t.raiseAfter))
		t.limit, t.limitedAt = known, now
	case known > t.limit && used >= t.limit-t.step && now.Sub(t.limitedAt) >= t.raiseAfter:
		t.limit, t.limitedAt = min(known, t.limit+t.step), now
	case t.limit >= float64(t.slots) && now.Sub(t.limitedAt) > maxRaiseInterval:
		t.raiseAfter = 0
	}
}

// knownLimit returns the lowest number of requests in flight with fullShare of the best throughput,
// and the highest number with enough samples. If the throughput is best at the highest number, the
// limit is not known and may be as high as the slots.
func (t *Target) knownLimit() (limit, used float64) {
	var throughput [levels]float64
	best, top := 0.0, 0
	for k := 1; k < levels; k++ {
		samples, refused := at(t.total.Samples, k), at(t.total.Refused, k)
		if samples+refused < minSamples {
			continue
		}
		top = k
		if seconds := at(t.total.Seconds, k); seconds > 0 {
			throughput[k] = float64(k) * t.step * samples / seconds * samples / (samples + refused)
			best = max(best, throughput[k])
		}
	}
	for k := 1; k < top; k++ {
		if throughput[k] > 0 && throughput[k] >= fullShare*best {
			return min(float64(t.slots), float64(k)*t.step), float64(top) * t.step
		}
	}
	return float64(t.slots), float64(top) * t.step
}

func (t *Target) decayOwn(now time.Time) {
	if !t.ownAt.IsZero() {
		t.own.Decay(now.Sub(t.ownAt))
	}
	t.ownAt = now
}
