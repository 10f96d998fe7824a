// Package jayclock reads the clocks of one machine.
package jayclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed returns the time since the machine started. It counts time in which
// the machine was suspended, so that a lease cannot outlive a suspension.
func Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
