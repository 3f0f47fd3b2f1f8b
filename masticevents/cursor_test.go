package masticevents

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcache"
)

func eventOf(number uint64) Event {
	return Event{Number: number, PartEvent: masticcache.PartEvent{Part: number, Stored: true, Tokens: 1}}
}

// TestCursor checks that each event is used once, that a gap loses only what is missing, and that a restart
// empties the cache and is read from its start.
func TestCursor(t *testing.T) {
	c := qt.New(t)
	cursor, b := Cursor{}.WithPage(Page{BootEpoch: 7, Next: 3, Events: []Event{eventOf(1), eventOf(2)}})
	c.Assert(b.Events, qt.HasLen, 2)
	c.Assert(b.Reset, qt.IsFalse)
	c.Assert(cursor.Since(), qt.Equals, uint64(3))
	cursor, b = cursor.WithPage(Page{BootEpoch: 7, Next: 4, Events: []Event{eventOf(2), eventOf(3)}})
	c.Assert(b.Events, qt.DeepEquals, []masticcache.PartEvent{eventOf(3).PartEvent})
	cursor, b = cursor.WithPage(Page{BootEpoch: 7, Next: 10, Lost: true, Events: []Event{eventOf(9)}})
	c.Assert(b.Events, qt.HasLen, 1)
	c.Assert(cursor.Since(), qt.Equals, uint64(10))
	cursor, b = cursor.WithPage(Page{BootEpoch: 8, Next: 10})
	c.Assert(b, qt.DeepEquals, Batch{Reset: true})
	c.Assert(cursor.Since(), qt.Equals, uint64(0))
	_, b = cursor.WithPage(Page{BootEpoch: 8, Next: 2, Events: []Event{eventOf(1)}})
	c.Assert(b.Events, qt.HasLen, 1)
	c.Assert(b.Reset, qt.IsFalse)
}
