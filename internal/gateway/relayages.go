package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// relayAgesInterval is the time between two lines about the age of relayed events.
	relayAgesInterval = 10 * time.Second
	// maxRelayAges limits the ages that are kept for a line.
	maxRelayAges = 8192
)

// relayAges are the ages of relayed cache events since the last line about them: the time from
// the answer of the source to its application on this host.
type relayAges struct {
	mu     sync.Mutex
	ages   []time.Duration
	failed int
	since  time.Time
}

func (r *relayAges) add(age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ages) < maxRelayAges {
		r.ages = append(r.ages, age)
	}
}

func (r *relayAges) addFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
}

// take returns the sorted ages and the number of failed calls, and forgets them. It returns false
// if the last line was written a short time ago.
func (r *relayAges) take(now time.Time) (ages []time.Duration, failed int, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		r.since = now
	}
	if now.Sub(r.since) < relayAgesInterval || len(r.ages)+r.failed == 0 {
		return nil, 0, false
	}
	ages, failed = r.ages, r.failed
	r.ages, r.failed, r.since = nil, 0, now
	slices.Sort(ages)
	return ages, failed, true
}

// logRelayAges logs the age of relayed cache events, if that is due.
func (g *Gateway) logRelayAges() {
	ages, failed, due := g.relayAges.take(g.Clock.Now())
	if !due {
		return
	}
	entry := g.Log.Info().Str("part", "cache").Int("answers", len(ages)).Int("failedCalls", failed)
	if n := len(ages); n > 0 {
		entry = entry.Dur("median", ages[n/2]).Dur("p99", ages[n*99/100]).Dur("oldest", ages[n-1])
	}
	entry.Msg("cache: age of events that other hosts relayed")
}
