package mastichealth

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestErrorActsAtOnceAndReturnIsSlow(t *testing.T) {
	c := qt.New(t)
	var s Server
	c.Assert(s.Share(start), qt.Equals, 1.0)
	s.Fail(start)
	c.Assert(s.Usable(start), qt.IsFalse)
	back := start.Add(firstPause)
	c.Assert(s.Usable(back), qt.IsTrue)
	c.Assert(s.Probing(), qt.IsTrue)
	s.Succeed(back)
	c.Assert(s.Share(back), qt.Equals, minShare)
	c.Assert(s.Share(back.Add(slowStartSpan/2)), qt.Equals, 0.5)
	c.Assert(s.Share(back.Add(slowStartSpan)), qt.Equals, 1.0)
}

func TestPauseGrowsWithRepeatedErrors(t *testing.T) {
	c := qt.New(t)
	var s Server
	now := start
	for range 20 {
		s.Fail(now)
		c.Assert(s.downUntil.Sub(now) <= maxPause, qt.IsTrue)
		now = s.downUntil
	}
	s.Fail(now)
	c.Assert(s.downUntil.Sub(now), qt.Equals, maxPause)
}

func TestProbeEndsOnlyThePauseOfABrokenConnection(t *testing.T) {
	c := qt.New(t)
	var broken, failing Server
	broken.Break(start)
	failing.Fail(start)
	broken.Confirm(start)
	failing.Confirm(start)
	c.Assert(broken.Usable(start), qt.IsTrue)
	c.Assert(failing.Usable(start), qt.IsFalse)
	failing.Succeed(start)
	c.Assert(failing.Usable(start), qt.IsTrue)
}

func TestEndedIncarnationIsStale(t *testing.T) {
	c := qt.New(t)
	var s Server
	c.Assert(s.Incarnate("a"), qt.Equals, First)
	c.Assert(s.Incarnate("a"), qt.Equals, Same)
	c.Assert(s.Incarnate("b"), qt.Equals, Replaced)
	c.Assert(s.Incarnate("a"), qt.Equals, Stale)
	c.Assert(s.Incarnation(), qt.Equals, "b")
	c.Assert(s.Incarnate(""), qt.Equals, Same)
}
