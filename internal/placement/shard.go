package placement

import (
	"math"
	"time"
)

// StartRemote is Start for a request that another host sends to its target. That host reports the
// first token by RecordRemoteFirst, but not each token.
func (b *Placer) StartRemote(now time.Time, req *Request, d *Decision) Ticket {
	t := b.Start(now, req, d)
	t.remote = true
	return t
}

// RecordRemoteFirst records the first token of a request that another host sent to its target, and the
// time from its placement to that, as measured there.
func (b *Placer) RecordRemoteFirst(now time.Time, t *Ticket, measured time.Duration) {
	if !t.active || !t.prefilling {
		return
	}
	b.recordFirst(now, b.engines[t.engineNumber], t, measured)
}

// PoolLoad returns the expected wait on the least loaded engine of a pool before it begins with a new
// prompt, and the share of the memory for running requests that is in use on the emptiest one.
func (b *Placer) PoolLoad(now time.Time, model string) (wait time.Duration, memory float64) {
	pool := b.pools[model]
	if pool == nil {
		return 0, 1
	}
	least, emptiest := math.Inf(1), 1.0
	for _, e := range pool.engines {
		if e.removed || !e.usable() || now.Before(e.avoidUntil) {
			continue
		}
		pool.expectPeers(now, e)
		least = min(least, e.expectedWait(1))
		if e.spec.MemoryTokens > 0 {
			emptiest = min(emptiest, e.totalHeldTokens()/float64(e.spec.MemoryTokens))
		} else {
			emptiest = 0
		}
	}
	if math.IsInf(least, 1) {
		return 0, 1
	}
	return time.Duration(least * float64(time.Second)), emptiest
}

// Closed reports whether a target takes no requests of this host now. It doesn't consider whether the
// target is cold.
func (b *Placer) Closed(now time.Time, target string) bool {
	e := b.find(target)
	return e == nil || e.removed || !e.usable() || now.Before(e.avoidUntil) || now.Before(e.quietUntil) || now.Before(e.pacedUntil)
}

// ReportRequests applies the number of requests that a target reports with some delay. Those that
// neither this host nor its peers have placed count as other requests.
func (b *Placer) ReportRequests(now time.Time, target string, requests int) {
	if e := b.find(target); e != nil {
		e.otherRequests = max(0, requests-max(e.peak(now), e.inFlight+e.peerInFlight))
		e.updatePeak(now)
	}
}

// Room describes the room of a target and its speed.
type Room struct {
	// Requests is the number of requests on the target, and HeldTokens what they hold of its memory.
	// Those of unknown size count as much as the average known one.
	Requests, HeldTokens int
	// Rate is the number of prompt tokens that the target computes per second, less if it is slowed.
	Rate float64
	// Closed is set while this host may not place requests on the target.
	Closed bool
}

// RoomOf returns the room of a target in the pool of a model, a closed one if it isn't in that pool.
func (b *Placer) RoomOf(now time.Time, model, target string) Room {
	e, pool := b.find(target), b.pools[model]
	if e == nil || pool == nil || e.removed {
		return Room{Closed: true}
	}
	b.refreshMedianSlowness(now, pool)
	pool.expectPeers(now, e)
	return Room{
		Requests: e.load(), HeldTokens: int(e.totalHeldTokens()), Rate: e.spec.PrefillRate / b.slowness(now, pool, e),
		Closed: !e.usable() || now.Before(e.avoidUntil) || now.Before(e.closedUntil()) || b.evacuated[e.spec.FailureDomain],
	}
}
