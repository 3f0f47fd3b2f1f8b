package masticengine

import (
	"testing"
	"time"
)

// TestWatchdogMayFireImmediately reproduces a nil dereference on a loaded machine, where the
// first timer event ran before the watchdog had stored its timer.
func TestWatchdogMayFireImmediately(t *testing.T) {
	const starts = 20000
	for range starts {
		newWatchdog(func(error) {}, nil, time.Nanosecond).stop()
	}
}
