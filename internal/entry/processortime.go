package entry

import (
	"golang.org/x/sys/unix"
)

// processorMicros returns the processor time that this process has used since its start, in
// microseconds, or 0 if the system doesn't tell.
func processorMicros() int64 {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return (usage.Utime.Nano() + usage.Stime.Nano()) / 1000
}
