package gateway

import "time"

// watchdog calls a function if it isn't reset within a time limit.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
}

// newWatchdog returns a running watchdog. With a limit of 0, onTimeout is never
// called.
func newWatchdog(limit time.Duration, onTimeout func()) *watchdog {
	d := &watchdog{limit: limit}
	if limit > 0 {
		d.timer = time.AfterFunc(limit, onTimeout)
	}
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
