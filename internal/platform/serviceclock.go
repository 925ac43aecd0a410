package platform

import (
	"sync"
	"time"
)

// maxClockDrift limits the difference between the rates of the clocks of this host and the
// service, in seconds per second.
const maxClockDrift = 2e-4

// serviceClock relates the steady clock of the table service to that of this host. Of the
// answers of an era it uses the one that took the shortest time, and takes it to have been
// given when its call was sent. So a time of the service is never converted to a later one.
type serviceClock struct {
	mu     sync.Mutex
	era    int64
	millis int64
	// sentAt is when the call was sent whose answer stated millis, zero if there is none, and took is how
	// long that call took.
	sentAt time.Time
	took   time.Duration
}

// observe records that the answer to a call sent at sentAt, which took some time, stated the clock of the service.
func (c *serviceClock) observe(sentAt time.Time, took time.Duration, era, millis int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if millis <= 0 || era < c.era {
		return
	}
	elapsed := sentAt.Sub(c.sentAt)
	expected := c.millis + int64((1+maxClockDrift)*float64(elapsed.Milliseconds()))
	if c.sentAt.IsZero() || era > c.era || millis <= expected {
		c.era, c.millis, c.sentAt, c.took = era, millis, sentAt, took
	}
}

// timeAt returns the time of this host at which the service showed millis in an era. It
// returns false if this isn't the present era, or if its clock isn't known.
func (c *serviceClock) timeAt(era, millis int64) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if millis <= 0 || era != c.era || c.sentAt.IsZero() {
		return time.Time{}, false
	}
	return c.sentAt.Add(time.Duration(millis-c.millis) * time.Millisecond), true
}

// millisAt returns what the clock of the service shows at a time of this host, and the
// present era. It returns false if the clock isn't known.
func (c *serviceClock) millisAt(t time.Time) (era, millis int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentAt.IsZero() {
		return 0, 0, false
	}
	return c.era, c.millis + t.Sub(c.sentAt).Milliseconds(), true
}

// earliestMillisAt returns a time of the service that is not later than the one its clock shows at a time of this
// host, and the present era. It returns false if the clock isn't known.
func (c *serviceClock) earliestMillisAt(t time.Time) (era, millis int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentAt.IsZero() {
		return 0, 0, false
	}
	elapsed := t.Sub(c.sentAt)
	uncertain := c.took + time.Duration(maxClockDrift*float64(elapsed.Abs()))
	return c.era, c.millis + (elapsed - uncertain).Milliseconds() - 1, true // Both clocks are rounded.
}
