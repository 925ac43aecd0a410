package platform

import (
	"sync"
	"time"
)

// maxClockDrift limits the difference between the rates of the clocks of this host and the
// service, in seconds per second.
const maxClockDrift = 1e-3

// serviceClock relates the steady clock of the table service to that of this host. Of the
// answers of an era it uses the one that took the shortest time to arrive.
type serviceClock struct {
	mu     sync.Mutex
	era    int64
	millis int64
	// receivedAt is when the answer that stated millis was received, zero if there is none.
	receivedAt time.Time
}

// observe records that an answer received at now stated the clock of the service.
func (c *serviceClock) observe(now time.Time, era, millis int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if millis <= 0 || era < c.era {
		return
	}
	elapsed := now.Sub(c.receivedAt)
	expected := c.millis + int64((1-maxClockDrift)*float64(elapsed.Milliseconds()))
	if c.receivedAt.IsZero() || era > c.era || millis >= expected {
		c.era, c.millis, c.receivedAt = era, millis, now
	}
}

// timeAt returns the time of this host at which the service showed millis in an era. It
// returns false if this isn't the present era, or if its clock isn't known.
func (c *serviceClock) timeAt(era, millis int64) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if millis <= 0 || era != c.era || c.receivedAt.IsZero() {
		return time.Time{}, false
	}
	return c.receivedAt.Add(time.Duration(millis-c.millis) * time.Millisecond), true
}

// millisAt returns what the clock of the service shows at a time of this host, and the
// present era. It returns false if the clock isn't known.
func (c *serviceClock) millisAt(t time.Time) (era, millis int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedAt.IsZero() {
		return 0, 0, false
	}
	return c.era, c.millis + t.Sub(c.receivedAt).Milliseconds(), true
}
