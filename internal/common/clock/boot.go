package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock whose Now is monotonic and also advances while the host is
// suspended. Its times can only be compared with each other. After is that of
// System.
type Boot struct{ System }

// Now returns the time since boot, as an offset from the Unix epoch.
func (Boot) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call cannot fail on Linux 2.6.39 or newer.
		panic("reading the boot clock: " + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}
