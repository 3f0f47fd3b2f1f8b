package masticroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// restartedServer returns a router with a server, and a function that lists it with an incarnation and a time of start.
func restartedServer() (*Router, func(incarnation string, startedAt time.Time)) {
	r := New(WithSharedLoad())
	return r, func(incarnation string, startedAt time.Time) {
		r.SetView(masticview.View{}.WithServer(masticview.Server{
			Name: "a", Kind: masticview.ServerService, Service: "desk", State: masticview.ServerActive, Incarnation: incarnation, StartedAt: startedAt,
		}))
	}
}

// noticeOf returns what is known of the server.
func (r *Router) noticeOf(name string) Notice { return r.servers[r.slots[name]].notice }

// TestPauseEndsWithTheListingOfARestart: a pause that a server had stated after its restart, and before the list showed that, was taken for
// one of its former process.
func TestPauseEndsWithTheListingOfARestart(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	until := now.Add(maxFormerPause)
	r, list := restartedServer()
	list("1", now.Add(-time.Hour))
	_, changed := r.ObserveNotice(now, "a", "1", false, until)
	c.Assert(changed, qt.IsTrue)
	list("2", now.Add(-time.Second))
	c.Check(r.noticeOf("a").PausedUntil, qt.Equals, until)
	list("3", now.Add(maxClockDifference))
	c.Check(r.noticeOf("a").PausedUntil, qt.Equals, until, qt.Commentf("the clocks of servers differ"))
	list("4", time.Time{})
	c.Check(r.noticeOf("a").PausedUntil, qt.Equals, until, qt.Commentf("its start is not known"))
	list("5", now.Add(maxClockDifference+time.Millisecond))
	c.Check(r.noticeOf("a").PausedUntil.IsZero(), qt.IsTrue, qt.Commentf("it started later"))
	c.Check(r.noticeOf("a").Allows(now), qt.IsTrue)
}

// TestPauseOfFormerProcessIsBounded checks that a pause of any length does not withhold the next process for long.
func TestPauseOfFormerProcessIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	r, list := restartedServer()
	list("1", now.Add(-time.Hour))
	r.ObserveNotice(now, "a", "1", false, now.Add(time.Hour))
	list("2", now.Add(time.Second))
	c.Check(r.noticeOf("a").Allows(now.Add(maxFormerPause-1)), qt.IsFalse)
	c.Check(r.noticeOf("a").Allows(now.Add(maxFormerPause)), qt.IsTrue)
	r.ObserveNotice(now, "a", "2", false, now.Add(time.Hour))
	c.Check(r.noticeOf("a").Allows(now.Add(maxFormerPause)), qt.IsFalse)
}

// TestPauseInTheAnswerToAFormerAssignmentIsForgotten: the view shows a restart while the request is under way, and the answer is that of the
// new process.
func TestPauseInTheAnswerToAFormerAssignmentIsForgotten(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	r, list := restartedServer()
	list("1", now.Add(-time.Hour))
	list("2", now)
	_, changed := r.ObserveNotice(now, "a", "1", false, now.Add(time.Second))
	c.Check(changed, qt.IsTrue)
	c.Check(r.noticeOf("a").Allows(now), qt.IsFalse)
	_, changed = r.ObserveNotice(now, "b", "1", false, now.Add(time.Second))
	c.Check(changed, qt.IsFalse, qt.Commentf("an unknown server"))
}

// TestPauseEndsWithTheProbeOfARestart is TestPauseEndsWithTheListingOfARestart where probes show the restart.
func TestPauseEndsWithTheProbeOfARestart(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	r, list := restartedServer()
	list("", time.Time{})
	r.RecordProbe(now, "a", "run-1", true)
	r.ObserveNotice(now, "a", "", false, now.Add(time.Second))
	r.RecordProbe(now, "a", "run-2", true)
	c.Check(r.noticeOf("a").Allows(now), qt.IsFalse)
	c.Check(r.noticeOf("a").Allows(now.Add(time.Second)), qt.IsTrue)
}
