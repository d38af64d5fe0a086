package watch

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted, including the time during which
// it was suspended. The monotonic clock of package time stops during a suspend,
// while keys may be withdrawn.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Cannot happen: all supported kernels have this clock.
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
