// Package masticclock tells the time by which leases are counted: the steady clock of the
// process plus the time for which its machine was suspended, which that clock leaves out.
package masticclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// resolution is the least suspension that is counted, in nanoseconds. The two clocks are
// read one after the other, so a shorter difference may be the time between the reads.
const resolution = int64(20 * time.Millisecond)

// start is the difference of the two clocks when the process began.
var start = difference()

// suspended is the time for which the machine was suspended since the start, in nanoseconds.
var suspended atomic.Int64

// Now returns the present time. It can be compared with what other calls returned.
func Now() time.Time {
	now := time.Now()
	d := difference() - start
	for {
		old := suspended.Load()
		if d < old+resolution || suspended.CompareAndSwap(old, d) {
			return now.Add(time.Duration(suspended.Load()))
		}
	}
}

// Until returns the time from now to t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// difference returns by how much the clock that counts suspension is ahead of the steady
// one, in nanoseconds.
func difference() int64 {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// A kernel without the clock counts no suspension.
		return 0
	}
	return boot.Nano() - steady.Nano()
}
