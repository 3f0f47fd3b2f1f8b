package masticroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticprompt"
)

// TestEventsReachOtherHosts guards against fetches from an engine that has evicted the prefix, or from a store
// that restarted empty, on hosts that do not read their events.
func TestEventsReachOtherHosts(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	reader, other := sharedRouter(c, 3), sharedRouter(c, 3)
	reader.cacheIndex.TrackParts()
	q := longQuery("prefix", "own")
	q.Avoid = []string{"e0"}
	// The key is made from what the events name: the salt that the relay sets, and the text of the part.
	part := masticprompt.PartKey(masticcall.CacheSalt("", "1"), "prefix")
	for _, r := range []*Router{reader, other} {
		read(r, now, 0, q)
		c.Assert(decide(c, r, now, q).FetchTokens, qt.Equals, 17_000.0)
	}
	reader.ApplyPartEvents(now, "e0", false, []masticcache.PartEvent{{Part: part, Tokens: 128}})
	c.Assert(decide(c, reader, now, q).FetchTokens, qt.Equals, 0.0)
	other.ApplyPeerReport(now, reader.TakeOwnReport("reader"))
	c.Assert(decide(c, other, now, q).FetchTokens, qt.Equals, 0.0)

	reader.ApplyPartEvents(now, testStore, false, []masticcache.PartEvent{{Part: part, Stored: true, Tokens: 13_300}})
	other.ApplyPeerReport(now, reader.TakeOwnReport("reader"))
	for _, r := range []*Router{reader, other} {
		d := decide(c, r, now, q)
		c.Assert(d.Fetch, qt.Equals, testStore)
		c.Assert(d.FetchTokens, qt.Equals, 13_300.0)
	}
	reader.ApplyPartEvents(now, testStore, true, nil)
	other.ApplyPeerReport(now, reader.TakeOwnReport("reader"))
	for _, r := range []*Router{reader, other} {
		c.Assert(decide(c, r, now, q).FetchTokens, qt.Equals, 0.0)
	}
	reader.ApplyPartEvents(now, "unknown", true, nil)
	c.Assert(reader.TakeOwnReport("reader").Touches, qt.HasLen, 0)
}
