// Package timekeeper provides a monotonic clock that also advances while the VM is
// suspended.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, as a time.Time. The clock never jumps and
// includes the time for which the VM was suspended, which the monotonic part of
// time.Now doesn't. Only differences between such times are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has supported this clock since version 2.6.39.
		panic("timekeeper: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
