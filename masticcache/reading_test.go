package masticcache

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPrefixIsCompleteOnceRead guards against fetches of a prefix from an engine that is still reading it.
func TestPrefixIsCompleteOnceRead(t *testing.T) {
	c := qt.New(t)
	const slot = Slot(1)
	now := start
	x := New()
	x.SetCapacity(slot, 10_000)
	pieces := piecesOf(3)
	reading := Reading{ExpectedAt: now.Add(time.Second), AssumedAt: now.Add(3 * time.Second)}
	presence := func(now time.Time) Presence { return x.Lookup(Lookup{}, pieces).Presence(now, slot) }

	x.Begin(now, slot, x.Epoch(slot), pieces, reading)
	c.Assert(presence(now), qt.Equals, Presence{Tokens: 300, ExpectedAt: reading.ExpectedAt})
	// A later request does not postpone the time.
	later := now.Add(500 * time.Millisecond)
	x.Begin(later, slot, x.Epoch(slot), pieces, Reading{ExpectedAt: later.Add(time.Second), AssumedAt: later.Add(3 * time.Second)})
	c.Assert(presence(later).ExpectedAt, qt.Equals, reading.ExpectedAt)
	// Nobody reported the first token.
	c.Assert(presence(reading.AssumedAt), qt.Equals, Presence{Tokens: 300, Complete: 300})

	x.Finish(later, slot, x.Epoch(slot), pieces[:2])
	c.Assert(presence(later), qt.Equals, Presence{Tokens: 300, Complete: 200, ExpectedAt: reading.ExpectedAt})
	x.Abandon(later, slot, x.Epoch(slot), pieces)
	c.Assert(presence(later), qt.Equals, Presence{Tokens: 200, Complete: 200})
	c.Assert(x.MissingTokens(slot, pieces), qt.Equals, 100.0)

	former := x.Epoch(slot)
	x.Reset(slot)
	x.Begin(later, slot, former, pieces, reading)
	c.Assert(presence(later), qt.Equals, Presence{})
}

// TestStoredEventEndsReading checks that an event overrides the prediction.
func TestStoredEventEndsReading(t *testing.T) {
	c := qt.New(t)
	const slot = Slot(1)
	x := New()
	x.SetCapacity(slot, 10_000)
	pieces := piecesOf(1)
	x.Begin(start, slot, x.Epoch(slot), pieces, Reading{ExpectedAt: start.Add(time.Second), AssumedAt: start.Add(time.Second)})
	x.Apply(start, slot, Batch{First: 1, Events: storedOf(1)})
	c.Assert(x.Lookup(Lookup{}, pieces).Presence(start, slot), qt.Equals, Presence{Tokens: 100, Complete: 100})
}
