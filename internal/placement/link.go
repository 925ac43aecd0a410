package placement

import "time"

const (
	// linkSampleWeight is the weight of one transfer in the moving average.
	linkSampleWeight = 0.3
	// minLinkShare is the lower bound of the estimated share of the nominal
	// speed.
	minLinkShare = 0.01
)

// LinkSpec describes the link to one store host.
type LinkSpec struct {
	Store          string
	BytesPerSecond float64
	Latency        time.Duration
}

// link is the state of the link to one store host.
type link struct {
	number int32
	spec   LinkSpec
	// share is the estimated part of the nominal speed that is available.
	share     float64
	busyUntil time.Time
	down      bool
}

// transferTime estimates the time in seconds until a transfer that is requested
// now is done, including the wait for earlier transfers.
func (l *link) transferTime(now time.Time, bytes float64) float64 {
	wait := max(0, l.busyUntil.Sub(now).Seconds())
	return wait + l.spec.Latency.Seconds() + bytes/(l.spec.BytesPerSecond*l.share)
}

// reserve adds a transfer that is requested now to the backlog.
func (l *link) reserve(now time.Time, bytes float64) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	seconds := bytes / (l.spec.BytesPerSecond * l.share)
	l.busyUntil = l.busyUntil.Add(time.Duration(seconds * float64(time.Second)))
}

// observe updates the estimated speed from a finished transfer.
func (l *link) observe(expected, measured time.Duration) {
	if expected <= 0 || measured <= 0 {
		return
	}
	sample := l.share * float64(expected) / float64(measured)
	l.share += (min(1, sample) - l.share) * linkSampleWeight
	l.share = max(minLinkShare, l.share)
}
