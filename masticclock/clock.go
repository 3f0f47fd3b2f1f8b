// Package masticclock tells the time by which leases are counted: a steady clock that goes
// on while the machine is suspended, which the clock of the runtime does not.
package masticclock

import "time"

// start is the time at which the process began, startBoot the same on the steady clock, in
// nanoseconds.
var (
	start     = time.Now()
	startBoot = bootNanoseconds()
)

// Now returns the present time. It can be compared with what other calls returned, and with
// times of the runtime's clock as long as the machine was not suspended.
func Now() time.Time { return start.Add(time.Duration(bootNanoseconds() - startBoot)) }

// Until returns the time from now to t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
