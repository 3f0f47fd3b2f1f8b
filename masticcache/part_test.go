package masticcache

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticprompt"
)

// partsOf returns n pieces of 100 tokens that are whole parts.
func partsOf(n int) []masticprompt.Piece {
	out := piecesOf(n)
	for i := range out {
		out[i].Part = uint64(1000 + i)
	}
	return out
}

// TestEvictedPartIsNotCached guards against fetches of parts that a server has evicted, and against news for
// all hosts on parts that nobody asked for twice.
func TestEvictedPartIsNotCached(t *testing.T) {
	c := qt.New(t)
	const slot = Slot(1)
	x := New()
	x.TrackParts()
	x.SetCapacity(slot, 10_000)
	pieces := partsOf(2)
	cached := func() float64 { return x.Lookup(Lookup{}, pieces).Presence(start, slot).Complete }
	x.Touch(start, slot, x.Epoch(slot), pieces)
	c.Assert(cached(), qt.Equals, 200.0)

	// The server still has nearly all of the second part, then a half, which is no use.
	changed, _ := x.ApplyPart(start, slot, PartEvent{Part: 1001, Tokens: 90})
	c.Assert(changed, qt.HasLen, 0)
	c.Assert(cached(), qt.Equals, 200.0)
	changed, _ = x.ApplyPart(start, slot, PartEvent{Part: 1001, Tokens: 50})
	c.Assert(changed, qt.HasLen, 0, qt.Commentf("asked for once"))
	c.Assert(cached(), qt.Equals, 100.0)

	x.Touch(start, slot, x.Epoch(slot), pieces)
	changed, gone := x.ApplyPart(start, slot, PartEvent{Part: 1001})
	c.Assert(changed, qt.DeepEquals, pieces[1:])
	c.Assert(gone, qt.IsTrue)
	changed, gone = x.ApplyPart(start, slot, PartEvent{Part: 1001, Stored: true, Tokens: 100})
	c.Assert(changed, qt.DeepEquals, pieces[1:])
	c.Assert(gone, qt.IsFalse)
	c.Assert(cached(), qt.Equals, 200.0)
	changed, _ = x.ApplyPart(start, slot, PartEvent{Part: 5, Stored: true, Tokens: 100})
	c.Assert(changed, qt.HasLen, 0)

	x.Remove(start, slot, pieces[:1])
	c.Assert(cached(), qt.Equals, 0.0)
}

// TestLateEvictionDoesNotEndReading guards against a second prefill of a prefix that is being read when the event
// of its former eviction arrives.
func TestLateEvictionDoesNotEndReading(t *testing.T) {
	c := qt.New(t)
	const slot = Slot(1)
	x := New()
	x.TrackParts()
	pieces := partsOf(1)
	at := start.Add(time.Second)
	x.Begin(start, slot, x.Epoch(slot), pieces, Reading{ExpectedAt: at, AssumedAt: at})
	x.ApplyPart(start, slot, PartEvent{Part: 1000})
	x.Remove(start, slot, pieces)
	c.Assert(x.Lookup(Lookup{}, pieces).Presence(start, slot).ExpectedAt, qt.Equals, at)
	x.ApplyPart(start, slot, PartEvent{Part: 1000, Stored: true, Tokens: 40})
	c.Assert(x.Lookup(Lookup{}, pieces).Presence(start, slot).Complete, qt.Equals, 0.0)
	x.ApplyPart(start, slot, PartEvent{Part: 1000, Stored: true, Tokens: 100})
	c.Assert(x.Lookup(Lookup{}, pieces).Presence(start, slot).Complete > 0, qt.IsTrue)
}

// TestPartsAreBounded checks that evicted records leave no parts behind.
func TestPartsAreBounded(t *testing.T) {
	c := qt.New(t)
	x := New(WithMaxPieces(8))
	x.TrackParts()
	x.Touch(start, 1, x.Epoch(1), partsOf(100))
	c.Assert(x.parts, qt.HasLen, 8)
	for part, ids := range x.parts {
		c.Assert(ids, qt.HasLen, 1)
		c.Assert(x.pieces[ids[0]].part, qt.Equals, part)
	}
}
