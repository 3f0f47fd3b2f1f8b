package masticroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// TestTwoHostsFindAServerEnded replays a third of the engines ended at once: each of 57 hosts
// found that out by requests of its own, three ended engines were all that a request tried,
// and 1,200 were refused. Two hosts' word is enough for the others; one host's is not, nor
// that of a host that finds most engines ended; an answer goes before it.
func TestTwoHostsFindAServerEnded(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	usable := func(r *Router, at time.Time) bool { return r.servers[r.slots["e0"]].usable(at) }
	says := func(r *Router, at time.Time, host string, ended ...string) {
		r.Peer(at, PeerReport{Host: host, Ended: ended})
	}

	r := sharedRouter(c, 6)
	says(r, now, "a", "e0")
	says(r, now, "a", "e0")
	c.Assert(usable(r, now), qt.IsTrue)
	says(r, now.Add(accuseSpan), "b", "e0")
	c.Assert(usable(r, now.Add(accuseSpan)), qt.IsFalse)
	c.Assert(usable(r, now.Add(accuseSpan+shunSpan)), qt.IsTrue)

	r = sharedRouter(c, 6)
	says(r, now, "a", "e0")
	says(r, now.Add(accuseSpan+1), "b", "e0")
	c.Assert(usable(r, now.Add(accuseSpan+1)), qt.IsTrue)

	r = sharedRouter(c, 6)
	for _, host := range []string{"a", "b"} {
		says(r, now, host, "e0", "e1", "e2", "e3")
	}
	c.Assert(usable(r, now), qt.IsTrue)

	r = sharedRouter(c, 6)
	r.judge(now, r.servers[r.slots["e0"]], End{})
	for _, host := range []string{"a", "b"} {
		says(r, now.Add(provenSpan-1), host, "e0")
	}
	c.Assert(usable(r, now.Add(provenSpan-1)), qt.IsTrue)
}

// TestEndedServersAreTold: what this host finds ended is told once, and a new run of the server
// is not held to it.
func TestEndedServersAreTold(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 2)
	for range 2 {
		r.judge(now, r.servers[r.slots["e0"]], End{ServerEnded: true, Failed: true, Partial: true})
	}
	c.Assert(r.Own("h").Ended, qt.DeepEquals, []string{"e0"})
	c.Assert(r.Own("h").Ended, qt.HasLen, 0)
	c.Assert(r.servers[r.slots["e0"]].usable(now), qt.IsFalse)
	var v masticview.View
	next := poolEngine(0, "1")
	next.Incarnation = "second"
	r.SetView(v.WithServer(next))
	c.Assert(r.servers[r.slots["e0"]].usable(now), qt.IsTrue)
}
