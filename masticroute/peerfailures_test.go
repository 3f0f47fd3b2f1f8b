package masticroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// TestTwoPeerReportsStartCooldown guards against hosts that each find terminated engines only by
// their own requests: when a third of the engines terminated at once, the three engines that a
// request tried were all terminated, and 57 hosts refused 1,200 requests. Reports of two hosts
// start the cooldown. The reports of one host, or of hosts that find most engines terminated, do
// not, and a recent answer overrides them.
func TestTwoPeerReportsStartCooldown(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	usable := func(r *Router, at time.Time) bool { return r.servers[r.slots["e0"]].usable(at) }
	reportTerminated := func(r *Router, at time.Time, host string, servers ...string) {
		r.ApplyPeerReport(at, PeerReport{Host: host, Ended: servers})
	}

	r := sharedRouter(c, 6)
	reportTerminated(r, now, "a", "e0")
	reportTerminated(r, now, "a", "e0")
	c.Assert(usable(r, now), qt.IsTrue)
	reportTerminated(r, now.Add(peerFailureWindow), "b", "e0")
	c.Assert(usable(r, now.Add(peerFailureWindow)), qt.IsFalse)
	c.Assert(usable(r, now.Add(peerFailureWindow+peerFailureCooldown)), qt.IsTrue)

	r = sharedRouter(c, 6)
	reportTerminated(r, now, "a", "e0")
	reportTerminated(r, now.Add(peerFailureWindow+1), "b", "e0")
	c.Assert(usable(r, now.Add(peerFailureWindow+1)), qt.IsTrue)

	r = sharedRouter(c, 6)
	for _, host := range []string{"a", "b"} {
		reportTerminated(r, now, host, "e0", "e1", "e2", "e3")
	}
	c.Assert(usable(r, now), qt.IsTrue)

	r = sharedRouter(c, 6)
	r.updateHealth(now, r.servers[r.slots["e0"]], End{})
	for _, host := range []string{"a", "b"} {
		reportTerminated(r, now.Add(answerWindow-1), host, "e0")
	}
	c.Assert(usable(r, now.Add(answerWindow-1)), qt.IsTrue)
}

// TestTerminatedServerIsReportedOnce checks that other hosts get one report of a terminated
// server, and that its next incarnation is usable.
func TestTerminatedServerIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 2)
	for range 2 {
		r.updateHealth(now, r.servers[r.slots["e0"]], End{ServerEnded: true, Failed: true, Partial: true})
	}
	c.Assert(r.TakeOwnReport("h").Ended, qt.DeepEquals, []string{"e0"})
	c.Assert(r.TakeOwnReport("h").Ended, qt.HasLen, 0)
	c.Assert(r.servers[r.slots["e0"]].usable(now), qt.IsFalse)
	var v masticview.View
	next := poolEngine(0, "1")
	next.Incarnation = "second"
	r.SetView(v.WithServer(next))
	c.Assert(r.servers[r.slots["e0"]].usable(now), qt.IsTrue)
}
