package placement

import "time"

const (
	linkSampleWeight = 0.3
	// minimumLinkShare bounds how slow a link is taken to be.
	minimumLinkShare = 0.01
)

// LinkSpec describes the link to one store host.
type LinkSpec struct {
	Store          string
	BytesPerSecond float64
	Latency        time.Duration
}

// link holds what is known of the link to one store host.
type link struct {
	number  int32
	spec    LinkSpec
	share   float64
	busyTil time.Time
	down    bool
}

// transferTime estimates when a transfer of that many bytes would be done if
// it was ordered now, in seconds.
func (l *link) transferTime(now time.Time, bytes float64) float64 {
	wait := max(0, l.busyTil.Sub(now).Seconds())
	return wait + l.spec.Latency.Seconds() + bytes/(l.spec.BytesPerSecond*l.share)
}

// book counts a transfer that is ordered now.
func (l *link) book(now time.Time, bytes float64) {
	if l.busyTil.Before(now) {
		l.busyTil = now
	}
	seconds := bytes / (l.spec.BytesPerSecond * l.share)
	l.busyTil = l.busyTil.Add(time.Duration(seconds * float64(time.Second)))
}

// observe compares a finished transfer with its estimate.
func (l *link) observe(expected, measured time.Duration) {
	if expected <= 0 || measured <= 0 {
		return
	}
	seen := l.share * float64(expected) / float64(measured)
	l.share += (min(1, seen) - l.share) * linkSampleWeight
	l.share = max(minimumLinkShare, l.share)
}
