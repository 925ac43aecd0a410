package gateway

import "time"

// watchdog calls back when it isn't fed for a time.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
}

// newWatchdog returns a watchdog; a limit of 0 never calls back.
func newWatchdog(limit time.Duration, bark func()) *watchdog {
	d := &watchdog{limit: limit}
	if limit > 0 {
		d.timer = time.AfterFunc(limit, bark)
	}
	return d
}

func (d *watchdog) fed() {
	if d.timer != nil {
		d.timer.Reset(d.limit)
	}
}

func (d *watchdog) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}
