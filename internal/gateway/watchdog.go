package gateway

import (
	"sync"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
)

// watchdog calls a function when it hasn't been reset for a time limit. The function returns the
// time until it is called again unless the watchdog is reset, or 0 to end the watchdog. It is
// never called twice at a time.
type watchdog struct {
	clock     clock.Clock
	limit     time.Duration
	onTimeout func() time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	resetAt time.Time
	stopped bool
	// paused is set while the caller is written to.
	paused bool
	// confirmed is set by the second check that finds the limit passed.
	confirmed bool
}

// confirmDelay is the time between the first check that finds the limit passed and the one that
// acts on it. A host that wasn't scheduled for some time reads in it what arrived meanwhile.
const confirmDelay = 50 * time.Millisecond

// newWatchdog returns a running watchdog. With a limit of 0, onTimeout is never called.
func newWatchdog(c clock.Clock, limit time.Duration, onTimeout func() time.Duration) *watchdog {
	d := &watchdog{clock: c, limit: limit, onTimeout: onTimeout, resetAt: c.Now()}
	if limit > 0 {
		d.mu.Lock()
		d.timer = time.AfterFunc(limit, d.check)
		d.mu.Unlock()
	}
	return d
}

func (d *watchdog) check() {
	if delay := d.remaining(); delay > 0 {
		d.checkAfter(delay)
	} else if delay := d.onTimeout(); delay > 0 {
		d.checkAfter(delay)
	}
}

// remaining returns the time until the next check, or 0 if the limit has passed for certain.
func (d *watchdog) remaining() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused {
		return d.limit
	}
	if left := d.limit - d.clock.Now().Sub(d.resetAt); left > 0 {
		d.confirmed = false
		return left
	}
	if !d.confirmed {
		d.confirmed = true
		return confirmDelay
	}
	return 0
}

func (d *watchdog) checkAfter(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.timer.Reset(delay)
	}
}

// reset begins the time limit anew.
func (d *watchdog) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resetAt = d.clock.Now()
	d.confirmed, d.paused = false, false
}

// pause suspends the time limit until reset.
func (d *watchdog) pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmed, d.paused = false, true
}

func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.timer != nil {
		d.timer.Stop()
	}
}
