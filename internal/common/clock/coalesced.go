package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// coalescedStep is the time between two common times of a Coalesced clock.
const coalescedStep = 50 * time.Millisecond

// Coalesced is a clock on which Tick and Every end their waits at common times, so that a process wakes up
// once for several periodic tasks. A host has some twenty of them, most of which find nothing to do.
type Coalesced struct {
	Clock

	// origin is one of the common times.
	origin time.Time
}

// NewCoalesced returns a coalesced clock that reads the time from c. Its common times are random, so that
// processes which start together run their tasks at different times.
func NewCoalesced(c Clock) Coalesced {
	return Coalesced{Clock: c, origin: c.Now().Add(-rand.N(coalescedStep))}
}

// untilTick returns the time to the common time that is the nearest to the end of an interval which begins now.
// Intervals below coalescedStep are returned unchanged.
func (c Coalesced) untilTick(interval time.Duration) time.Duration {
	if interval < coalescedStep {
		return interval
	}
	since := c.Now().Sub(c.origin)
	end := since + interval + coalescedStep/2
	return end - end%coalescedStep - since
}

// Tick waits for the end of an interval or of ctx, whose error it then returns. On a Coalesced clock, the
// interval is up to half a step longer or shorter.
func Tick(ctx context.Context, c Clock, interval time.Duration) error {
	if coalesced, ok := c.(Coalesced); ok {
		interval = coalesced.untilTick(interval)
	}
	return Sleep(ctx, c, interval)
}
