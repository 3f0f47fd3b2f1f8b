package masticroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticprompt"
)

// TestRequestWaitsForPrefixThatIsRead guards against a second prefill of a prefix that an engine is reading, as
// that of 14 of 33 requests that were sent to the engine meanwhile. The request is held until the engine has
// read it, for maxHold at most, and then sent to any engine, which fetches it.
func TestRequestWaitsForPrefixThatIsRead(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 4)
	q := longQuery("prefix", "own")
	q.Due = now.Add(3 * time.Second)
	pieces := q.Prompt.Pieces(masticprompt.Seed{Model: q.Model, WeightsVersion: "1"})
	r.applyTouch(now, Touch{Server: "e0", Pieces: pieces, ExpectedIn: 400 * time.Millisecond})

	held := decide(c, r, now, q)
	c.Assert(held.Hold, qt.IsTrue)
	c.Assert(held.Admit, qt.IsFalse)
	c.Assert(held.Wait >= 400*time.Millisecond, qt.IsTrue)

	q.Waited = maxHold
	late := decide(c, r, now, q)
	c.Assert(late.Admit, qt.IsTrue)
	c.Assert(r.Server(late.Slot).Name, qt.Equals, "e0")
	q.Waited = 0

	// A coordinator sends it to the engine that reads the prefix.
	q.Shard = 1
	for i := range r.pools[q.Model] {
		r.pools[q.Model][i].shards = append(r.pools[q.Model][i].shards, r.pools[q.Model][i].slots)
	}
	coordinated := decide(c, r, now, q)
	c.Assert(coordinated.Admit, qt.IsTrue)
	c.Assert(r.Server(coordinated.Slot).Name, qt.Equals, "e0")
	q.Shard = 0

	before := r.FinishedReadings()
	r.applyTouch(now.Add(300*time.Millisecond), Touch{Server: "e0", Pieces: pieces})
	c.Assert(r.FinishedReadings() > before, qt.IsTrue)
	free := decide(c, r, now.Add(300*time.Millisecond), q)
	c.Assert(free.Admit, qt.IsTrue)
	c.Assert(free.Cached, qt.Equals, 17_000.0)
}

// TestPrefixIsReadAgainIfTooLate checks that a request does not wait for a fetch that comes too late for
// its target while another engine can compute all of it in time and the first has much other work.
func TestPrefixIsReadAgainIfTooLate(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 2)
	r.ApplyPeerReport(now, PeerReport{Host: "h", Servers: []ServerLoad{
		{Server: "e0", Running: 1, Speed: 30_000, Tokens: 200_000}, {Server: "e1", Running: 1, Speed: 30_000},
	}})
	q := longQuery("prefix", "own")
	q.Due = now.Add(time.Second)
	pieces := q.Prompt.Pieces(masticprompt.Seed{Model: q.Model, WeightsVersion: "1"})
	r.applyTouch(now, Touch{Server: "e0", Pieces: pieces, ExpectedIn: 3 * time.Second})
	d := decide(c, r, now, q)
	c.Assert(r.Server(d.Slot).Name, qt.Equals, "e1")
	c.Assert(d.Admit, qt.IsTrue)
	c.Assert(d.Cached, qt.Equals, 0.0)
}
