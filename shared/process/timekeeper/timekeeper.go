// Package timekeeper tells a time that goes on while the VM is suspended.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's start as a time. It never jumps and
// counts suspension, which the monotonic part of time.Now doesn't. Only
// differences of such times mean anything.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has the clock since 2.6.39.
		panic("timekeeper: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
