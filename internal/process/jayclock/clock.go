// Package jayclock provides a monotonic clock, a cancelable sleep and the
// cancellation cause of a simulated crash.
package jayclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed returns the time since the machine booted, including time spent suspended,
// so that leases expire during a suspension.
func Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
