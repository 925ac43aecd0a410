package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts while the machine is suspended. Its times
// compare with each other only.
type Boot struct{ System }

// Now returns the time since the machine was started, as a time.
func (Boot) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call can't fail on Linux 2.6.39 or newer.
		panic("reading the boot clock: " + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}
