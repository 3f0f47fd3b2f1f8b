package masticcontrol

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestClockOfRecordsIsAheadOfTime: a clock that a new leader or a late command advances by more than the time that has passed would drop
// the records of streams that callers may still take up.
func TestClockOfRecordsIsAheadOfTime(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	var sum int64
	elected := start
	for _, proposals := range [][]time.Duration{
		{0, 300 * time.Microsecond, 300*time.Microsecond + 999, time.Second},
		{1500 * time.Millisecond, 1500 * time.Millisecond, 40 * time.Second},
		{40 * time.Second},
	} {
		d := &leaderState{originsAt: elected}
		for _, at := range proposals {
			sum += d.elapsedUs(start.Add(at))
			c.Assert(sum <= at.Microseconds(), qt.IsTrue, qt.Commentf("%d us after %s", sum, at))
		}
		elected = start.Add(proposals[len(proposals)-1])
	}
	c.Assert(sum, qt.Equals, (40 * time.Second).Microseconds())
	d := &leaderState{originsAt: start}
	c.Assert(d.elapsedUs(start.Add(-time.Second)), qt.Equals, int64(0))
}
