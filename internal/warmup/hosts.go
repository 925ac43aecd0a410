package warmup

import "time"

const (
	// settleTime is how long the number of known hosts has to be about the same before a host
	// uses its share. A host that starts learns of the others within this time. It is longer than
	// window, so that requests which a host sent before its restart don't count any more.
	settleTime = 2 * time.Second
	// settledGrowth is the factor by which the number may grow in that time. Hosts that know too
	// few others believe that they come before those that they don't know: with this growth, the
	// shares of all of them exceed one part by no more than the part for a second group.
	settledGrowth = 1.1
)

// Hosts tells from the number of known hosts whether a host knows about all others. The zero value
// is ready to use. It is not safe for concurrent use.
type Hosts struct {
	// base is the number of hosts at since, or 0 if none has been observed.
	base  int
	since time.Time
	// settled is set once the number has been about the same for settleTime.
	settled bool
}

// Observe records the number of known hosts, and reports whether it has settled. It has to be called
// several times per settleTime.
func (h *Hosts) Observe(now time.Time, n int) bool {
	switch {
	case h.base == 0 || float64(n) > settledGrowth*float64(h.base):
		h.base, h.since, h.settled = n, now, false
	case now.Sub(h.since) >= settleTime:
		h.base, h.since, h.settled = n, now, true
	}
	return h.settled
}

// Forget forgets the numbers, since no hosts are known that could have been counted.
func (h *Hosts) Forget() { *h = Hosts{} }
