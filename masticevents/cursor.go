// Package masticevents reads the cache events of engines and stores. One host reads those of each server and
// passes on to the others what matters to them.
package masticevents

import "masticladder/masticcache"

// Event is one numbered change of a server's cache.
type Event struct {
	Number uint64
	masticcache.PartEvent
}

// Page is the answer to one call.
type Page struct {
	// BootEpoch changes when the server restarts.
	BootEpoch uint64
	// Next is the number from which the next call continues.
	Next uint64
	// Lost reports that events before those of the page are missing.
	Lost   bool
	Events []Event
	// Malformed is the number of events that could not be decoded.
	Malformed int
}

// Cursor is the position in the events of one server. It is immutable.
type Cursor struct {
	bootEpoch, next uint64
	started         bool
}

// Since returns the number from which the next call continues.
func (c Cursor) Since() uint64 { return c.next }

// Batch is what a page brings.
type Batch struct {
	// Reset reports that the server restarted with an empty cache.
	Reset  bool
	Events []masticcache.PartEvent
}

// WithPage returns the cursor after a page, and what is new in it. The page that shows a restart was asked for
// by a number of the former process, so that nothing of it is used: the next call reads from the start.
func (c Cursor) WithPage(p Page) (Cursor, Batch) {
	if c.started && p.BootEpoch != c.bootEpoch {
		return Cursor{bootEpoch: p.BootEpoch, started: true}, Batch{Reset: true}
	}
	var b Batch
	next := max(c.next, p.Next)
	for _, e := range p.Events {
		if e.Number >= c.next {
			b.Events = append(b.Events, e.PartEvent)
		}
	}
	return Cursor{bootEpoch: p.BootEpoch, next: next, started: true}, b
}
