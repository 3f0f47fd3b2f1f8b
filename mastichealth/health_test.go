package mastichealth

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestFailureStartsCooldownThenSlowStart(t *testing.T) {
	c := qt.New(t)
	var s Server
	c.Assert(s.Share(start), qt.Equals, 1.0)
	s.RecordFailedAnswer(start)
	c.Assert(s.Usable(start), qt.IsFalse)
	back := start.Add(firstCooldown)
	c.Assert(s.Usable(back), qt.IsTrue)
	c.Assert(s.HalfOpen(), qt.IsTrue)
	s.RecordSuccess(back)
	c.Assert(s.Share(back), qt.Equals, minShare)
	c.Assert(s.Share(back.Add(slowStartWindow/2)), qt.Equals, 0.5)
	c.Assert(s.Share(back.Add(slowStartWindow)), qt.Equals, 1.0)
}

func TestCooldownGrowsWithRepeatedFailures(t *testing.T) {
	c := qt.New(t)
	var s Server
	now := start
	for range 20 {
		s.RecordFailedAnswer(now)
		c.Assert(s.downUntil.Sub(now) <= maxCooldown, qt.IsTrue)
		now = s.downUntil
	}
	s.RecordFailedAnswer(now)
	c.Assert(s.downUntil.Sub(now), qt.Equals, maxCooldown)
}

func TestProbeEndsOnlyCooldownOfConnectionFailure(t *testing.T) {
	c := qt.New(t)
	var broken, failing Server
	broken.RecordConnectionFailure(start)
	failing.RecordFailedAnswer(start)
	broken.RecordProbeSuccess(start)
	failing.RecordProbeSuccess(start)
	c.Assert(broken.Usable(start), qt.IsTrue)
	c.Assert(failing.Usable(start), qt.IsFalse)
	failing.RecordSuccess(start)
	c.Assert(failing.Usable(start), qt.IsTrue)
}

func TestReplacedIncarnationIsStale(t *testing.T) {
	c := qt.New(t)
	var s Server
	c.Assert(s.ObserveIncarnation("a"), qt.Equals, First)
	c.Assert(s.ObserveIncarnation("a"), qt.Equals, Same)
	c.Assert(s.ObserveIncarnation("b"), qt.Equals, Replaced)
	c.Assert(s.ObserveIncarnation("a"), qt.Equals, Stale)
	c.Assert(s.Incarnation(), qt.Equals, "b")
	c.Assert(s.ObserveIncarnation(""), qt.Equals, Same)
}
