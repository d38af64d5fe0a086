package lists

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine's start, including the time in which
// it was suspended. The steady clock of package time stands still in that time,
// in which keys may be withdrawn.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// All supported kernels have this clock.
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
