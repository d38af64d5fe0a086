// Package clock provides clocks that count the time during which the machine was suspended.
// The monotonic clock of package time stops meanwhile, but leases, grants and proofs of
// others end all the same.
//
// # Usage
//
//	keeper := lease.New(..., lease.WithClock(clock.New(clock.SinceBoot)))
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"rhubarbdrift.example/model"
)

// SinceBoot returns the time since the machine booted, including the time during which
// it was suspended.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Cannot happen: all supported kernels have this clock.
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// New returns a clock that begins at the present time of day and advances with sinceBoot.
// Later changes of the time of day have no effect on it. Its times can be compared with
// each other, but not with those of other clocks.
func New(sinceBoot func() time.Duration) model.Clock {
	start, began := time.Now().Round(0), sinceBoot()
	return func() time.Time { return start.Add(sinceBoot() - began) }
}
