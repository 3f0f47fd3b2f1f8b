package masticcache

import (
	"time"

	"masticladder/masticprompt"
)

// EventKind tells the events of a cache apart.
type EventKind int

// The kinds of cache events.
const (
	// Stored says that a piece was put into the cache.
	Stored EventKind = iota
	// Removed says that a piece was evicted.
	Removed
	// Cleared says that the cache was emptied.
	Cleared
)

// Event is one change of a backend server's cache.
type Event struct {
	Kind  EventKind
	Piece masticprompt.PieceID
}

// Batch is a run of events with consecutive numbers.
type Batch struct {
	// First is the number of the first event.
	First  uint64
	Events []Event
}

// Applied says what Apply did with a batch.
type Applied struct {
	// Late counts events that were dropped since later ones had been applied.
	Late int
	// Gap reports that events are missing before this batch.
	Gap bool
}

// Apply changes the beliefs about slot by a batch of its current incarnation's events.
// Events older than those applied are dropped; a gap makes all earlier beliefs worth less.
func (b *Beliefs) Apply(now time.Time, slot Slot, batch Batch) Applied {
	var a Applied
	s := b.server(slot)
	events := batch.Events
	if s.streaming && batch.First < s.next {
		a.Late = int(min(s.next-batch.First, uint64(len(events))))
		events = events[a.Late:]
	}
	if len(events) == 0 {
		return a
	}
	if s.streaming && batch.First > s.next {
		a.Gap = true
		s.miss(batch.First - s.next)
	}
	s.streaming = true
	s.next = batch.First + uint64(len(batch.Events))
	s.lastEvent = now
	for _, e := range events {
		b.apply(now, slot, e)
	}
	return a
}

func (b *Beliefs) apply(now time.Time, slot Slot, e Event) {
	switch e.Kind {
	case Stored:
		b.server(slot).store(now)
		b.total.store(now)
		h := b.hold(e.Piece, slot)
		if h.at.IsZero() {
			h.at = now
		}
		b.list(slot, h)
	case Removed:
		b.unlist(now, slot, e.Piece)
	case Cleared:
		b.clear(slot)
	}
}

// clear voids the beliefs about slot and keeps its place in the stream.
func (b *Beliefs) clear(slot Slot) {
	s := b.server(slot)
	s.epoch++
	s.listed = 0
}

// list marks h as named by an event.
func (b *Beliefs) list(slot Slot, h *holder) {
	s := b.server(slot)
	if !h.listed {
		s.listed++
	}
	h.listed = true
	h.doubt = s.doubt
}

// unlist drops the belief that slot has the piece.
func (b *Beliefs) unlist(now time.Time, slot Slot, id masticprompt.PieceID) {
	r, ok := b.pieces[id]
	if !ok {
		return
	}
	if h := r.find(slot, b.server(slot).epoch); h != nil {
		b.server(slot).removed(now.Sub(h.at))
		b.forget(*h)
	}
	r.remove(slot)
}

// Churn returns how much faster than the mean of n backend servers slot replaces its
// cache; one while nothing is known.
func (b *Beliefs) Churn(now time.Time, slot Slot, n int) float64 {
	mean := b.total.churnNow(now) / float64(max(1, n))
	s, ok := b.servers[slot]
	if !ok || mean < minChurn {
		return 1
	}
	return s.churnNow(now) / mean
}

// Informed reports whether events tell of the work of other hosts.
func (b *Beliefs) Informed(now time.Time) bool { return b.total.churnNow(now) >= minChurn }
