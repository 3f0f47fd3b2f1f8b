package masticengine

import (
	"testing"
	"time"
)

// TestWatchdogMayFireAtOnce replays a loaded machine, on which the first tick came before the
// watchdog knew its own timer.
func TestWatchdogMayFireAtOnce(t *testing.T) {
	const starts = 20000
	for range starts {
		newWatchdog(func(error) {}, nil, time.Nanosecond).stop()
	}
}
