//go:build !cgo

package masticclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootNanoseconds returns CLOCK_BOOTTIME in nanoseconds. It reads the clock with a system call.
func bootNanoseconds() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		// On a kernel without this clock, time that the machine is suspended is not counted.
		return int64(time.Since(start))
	}
	return t.Nano()
}
