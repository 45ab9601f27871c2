package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted. Unlike the clock of package time it also
// counts the time during which the machine was suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every supported system. Without it, suspended time isn't counted.
		return time.Since(origin)
	}
	return time.Duration(now.Nano())
}
