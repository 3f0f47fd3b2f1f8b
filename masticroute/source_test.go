package masticroute

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcache"
	"masticladder/masticprompt"
)

// read makes engine i of r have the prompt of q since now.
func read(r *Router, now time.Time, i int, q *Query) []masticprompt.Piece {
	pieces := q.Prompt.Pieces(masticprompt.Seed{Model: q.Model, WeightsVersion: "1"})
	r.applyTouch(now, Touch{Server: fmt.Sprint("e", i), Pieces: pieces})
	return pieces
}

const testStore = "10.0.9.9:80"

// TestStoreHasPromptOnceSaved guards against fetches from a store that has not received the prompt yet: the
// engine found nothing and computed the shared part again.
func TestStoreHasPromptOnceSaved(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 1)
	q := longQuery("prefix", "own")
	pieces := q.Prompt.Pieces(masticprompt.Seed{Model: q.Model, WeightsVersion: "1"})
	// 10 prompts of 17,000 tokens take 85 ms each at 200,000 tokens a second.
	for i := range 10 {
		other := longQuery(fmt.Sprint("other", i), "own").Prompt.Pieces(masticprompt.Seed{Model: q.Model, WeightsVersion: "1"})
		c.Assert(r.saveStarted(now, r.slots[testStore], other), qt.IsTrue)
	}
	c.Assert(r.saveStarted(now, r.slots[testStore], pieces), qt.IsTrue)
	c.Assert(decide(c, r, now.Add(500*time.Millisecond), q).Hold, qt.IsTrue)
	q.Waited = maxHold
	before := decide(c, r, now.Add(500*time.Millisecond), q)
	c.Assert(before.FetchTokens, qt.Equals, 0.0)
	c.Assert(before.Cached, qt.Equals, 0.0)
	c.Assert(before.Save, qt.Equals, "")
	after := decide(c, r, now.Add(11*85*time.Millisecond+saveDelay), q)
	c.Assert(after.Fetch, qt.Equals, testStore)
	c.Assert(after.Cached, qt.Equals, 17_000.0)
}

// TestSaveThatIsNotBegun checks that a prompt is not expected in a store whose link is busy for more than
// two seconds, and that none is sent there.
func TestSaveThatIsNotBegun(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 1)
	r.linkOf(now, testStore).busyUntil = now.Add(maxTransferWait + 1)
	q := longQuery("prefix", "own")
	d := decide(c, r, now, q)
	c.Assert(d.Save, qt.Equals, "")
	d.Save = testStore
	w := r.Start(now, q, &d)
	r.FirstToken(now, &w)
	c.Assert(r.lookup.Presence(now, r.slots[testStore]), qt.Equals, masticcache.Presence{})
}

// TestFetchFromEngineThatHasRead guards against fetches from a busy store while an engine has the prefix,
// and from an engine that is still reading it.
func TestFetchFromEngineThatHasRead(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 3)
	q := longQuery("prefix", "own")
	pieces := read(r, now, 0, q)
	c.Assert(r.saveStarted(now, r.slots[testStore], pieces), qt.IsTrue)
	r.applyTouch(now, Touch{Server: "e1", Pieces: pieces, ExpectedIn: time.Second})
	r.linkOf(now, testStore).busyUntil = now.Add(400 * time.Millisecond)
	later := now.Add(200 * time.Millisecond)
	q.Avoid = []string{"e0", "e1"}
	c.Assert(decide(c, r, later, q).Fetch, qt.Equals, "10.0.0.1:80")
	// Its link is busier than that of the store.
	r.linkOf(now, "10.0.0.1:80").busyUntil = now.Add(900 * time.Millisecond)
	c.Assert(decide(c, r, later, q).Fetch, qt.Equals, testStore)
}

// TestFetchesOfHotPrefixAreSpread guards against fetches of a prefix that all go to one of the engines that
// have it.
func TestFetchesOfHotPrefixAreSpread(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 20)
	read(r, now, 0, longQuery("prefix", "own"))
	read(r, now, 1, longQuery("prefix", "own"))
	sources := map[string]int{}
	for i := range 10 {
		q := longQuery("prefix", fmt.Sprint("own", i))
		q.Avoid = []string{"e0", "e1"}
		d := decide(c, r, now, q)
		c.Assert(d.FetchTokens, qt.Equals, 13_300.0)
		sources[d.Fetch]++
		r.Start(now, q, &d)
	}
	c.Assert(sources, qt.DeepEquals, map[string]int{"10.0.0.1:80": 5, "10.0.0.2:80": 5})
}

// TestFailedReadingIsForgotten guards against requests that wait for a prefix whose request has failed.
func TestFailedReadingIsForgotten(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 2)
	q := longQuery("prefix", "own")
	d := decide(c, r, now, q)
	w := r.Start(now, q, &d)
	c.Assert(r.cacheIndex.MissingTokens(d.Slot, w.Pieces), qt.Equals, 0.0)
	r.Done(now, &w, End{Failed: true, Partial: true})
	c.Assert(r.cacheIndex.MissingTokens(d.Slot, w.Pieces), qt.Equals, 17_000.0)
}
