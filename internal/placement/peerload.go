package placement

import (
	"math"
	"time"
)

// SetPeerLoad sets the load that the other entry hosts report for a target.
func (b *Placer) SetPeerLoad(now time.Time, target string, load TargetLoad) {
	if e := b.find(target); e != nil {
		e.reported, e.reportedAt = load, now.Add(-load.Age)
		e.peerInFlight = load.Requests
		e.peerPrefill = load.PrefillTokens
		e.peerHeld = load.HeldTokens
		if e.pace != nil {
			e.pace.SetPeers(now, &load.Pace)
		}
		e.updatePeak(now)
	}
}

// Weights of a sample below and above the estimate in observeTime.
const (
	shorterWeight = 0.2
	longerWeight  = 0.01
)

// observeTime adds a measured time to an estimate that follows short times quickly and
// long ones slowly, so that waiting times hardly count.
func observeTime(estimate *time.Duration, measured time.Duration) {
	weight := longerWeight
	if measured < *estimate {
		weight = shorterWeight
	}
	if *estimate == 0 {
		weight = 1
	}
	*estimate += time.Duration(float64(measured-*estimate) * weight)
}

// expectPeers sets the load of the other entry hosts that is expected on an engine now.
// Of the requests reported some time ago, only a part still runs. Others have begun
// since, but on which engines is unknown, so they count evenly on all. Without that,
// all hosts would place their requests on the engine with the least reported load until
// they hear of each other.
func (p *enginePool) expectPeers(now time.Time, e *engine) {
	age := now.Sub(e.reportedAt)
	if e.reportedAt.IsZero() || age <= 0 {
		return
	}
	p.refreshReportedMean(now)
	e.peerInFlight = int(math.Round(mixed(float64(e.reported.Requests), p.meanRequests, age, p.requestTime)))
	e.peerPrefill = mixed(e.reported.PrefillTokens, p.meanPrefill, age, p.firstTime)
}

// mixed returns the reported value for the share of requests that are expected to last
// longer than age, and the mean for the rest. Without a known duration it returns the
// mean.
func mixed(reported, mean float64, age, duration time.Duration) float64 {
	if duration == 0 {
		return mean
	}
	lasting := math.Exp(-age.Seconds() / duration.Seconds())
	return lasting*reported + (1-lasting)*mean
}

// meanInterval is the minimum time between two updates of the mean reported load.
const meanInterval = 50 * time.Millisecond

func (p *enginePool) refreshReportedMean(now time.Time) {
	if now.Sub(p.meanOf) < meanInterval {
		return
	}
	p.meanOf = now
	requests, prefill, n := 0, 0.0, 0
	for _, e := range p.engines {
		if e.usable() {
			requests += e.reported.Requests
			prefill += e.reported.PrefillTokens
			n++
		}
	}
	count := float64(max(1, n))
	p.meanRequests, p.meanPrefill = float64(requests)/count, prefill/count
}
