package masticdaemon

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShortGraceCutsStreamsEarly: with a grace period of 2 s, connections were closed and requests without an answer given up
// before its last sixth.
func TestShortGraceCutsStreamsEarly(t *testing.T) {
	for _, x := range []struct{ grace, drain, open time.Duration }{
		{2 * time.Second, 1667 * time.Millisecond, 1800 * time.Millisecond},
		{3 * time.Second, 2500 * time.Millisecond, 2700 * time.Millisecond},
		{8 * time.Second, 7100 * time.Millisecond, 7500 * time.Millisecond},
		{time.Minute, 59100 * time.Millisecond, 59500 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(x.grace), func(t *testing.T) {
			c := qt.New(t)
			s := NodeSettings{GracePeriod: x.grace}
			c.Assert(s.drainTime().Round(time.Millisecond), qt.Equals, x.drain)
			c.Assert(s.openTime().Round(time.Millisecond), qt.Equals, x.open)
			c.Assert(s.drainTime() >= x.grace*5/6, qt.IsTrue)
			c.Assert(s.openTime() > s.drainTime(), qt.IsTrue)
			c.Assert(s.openTime() < x.grace, qt.IsTrue)
		})
	}
}
