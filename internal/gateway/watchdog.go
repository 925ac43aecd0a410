package gateway

import "time"

// watchdog calls a function if it isn't reset within a time limit, and again each
// silenceCheckInterval until the function returns true.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
}

// silenceCheckInterval is the time between two calls of the function of a watchdog.
const silenceCheckInterval = 100 * time.Millisecond

// newWatchdog returns a running watchdog. With a limit of 0, onTimeout is never
// called.
func newWatchdog(limit time.Duration, onTimeout func() bool) *watchdog {
	d := &watchdog{limit: limit}
	if limit <= 0 {
		return d
	}
	started := make(chan struct{})
	d.timer = time.AfterFunc(limit, func() {
		<-started
		if !onTimeout() {
			d.timer.Reset(silenceCheckInterval)
		}
	})
	close(started)
	return d
}

func (d *watchdog) reset() {
	if d.timer != nil {
		d.timer.Reset(d.limit)
	}
}

func (d *watchdog) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}
