// Package masticclock provides the clock for leases: a monotonic clock that continues while the
// machine is suspended, unlike the monotonic clock of the Go runtime.
package masticclock

import "time"

// start and startBootNanoseconds are the start time of the process, on the clock of the runtime and
// on CLOCK_BOOTTIME.
var (
	start                = time.Now()
	startBootNanoseconds = bootNanoseconds()
)

// Now returns the current time. It can be compared with other results of Now, and with times of the
// runtime's clock as long as the machine has not been suspended.
func Now() time.Time { return start.Add(time.Duration(bootNanoseconds() - startBootNanoseconds)) }

// Until returns the duration from Now until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
