package masticcache

import (
	"time"

	"masticladder/masticprompt"
)

// EventKind is the kind of a cache event.
type EventKind int

// The kinds of cache events, as reported by engines.
const (
	// Stored means that a piece was added to the cache.
	Stored EventKind = iota
	// Removed means that a piece was evicted.
	Removed
	// Cleared means that the cache was emptied.
	Cleared
)

// Event is one change of a backend server's cache.
type Event struct {
	Kind  EventKind
	Piece masticprompt.PieceID
}

// Batch is a sequence of events with consecutive numbers.
type Batch struct {
	// First is the sequence number of the first event.
	First  uint64
	Events []Event
}

// Applied is the result of applying a batch.
type Applied struct {
	// Late is the number of events dropped because later ones had already been applied.
	Late int
	// Gap reports whether events are missing before this batch.
	Gap bool
}

// Apply updates the entries of slot from a batch of events of its current incarnation.
// Events older than those already applied are dropped. A gap lowers the probability
// of earlier entries that events have confirmed; it matters only for a slot without a known
// capacity, while its stream is fresh (see probability).
func (x *Index) Apply(now time.Time, slot Slot, batch Batch) Applied {
	var a Applied
	s := x.state(slot)
	events := batch.Events
	if s.streamStarted && batch.First < s.nextEvent {
		a.Late = int(min(s.nextEvent-batch.First, uint64(len(events))))
		events = events[a.Late:]
	}
	if len(events) == 0 {
		return a
	}
	if s.streamStarted && batch.First > s.nextEvent {
		a.Gap = true
		s.recordGap(batch.First - s.nextEvent)
	}
	s.streamStarted = true
	s.nextEvent = batch.First + uint64(len(batch.Events))
	s.lastEventAt = now
	for _, e := range events {
		x.apply(now, slot, e)
	}
	return a
}

func (x *Index) apply(now time.Time, slot Slot, e Event) {
	switch e.Kind {
	case Stored:
		x.state(slot).countStored(now)
		x.total.countStored(now)
		h := x.ensureHolder(e.Piece, slot)
		if h.lastUsed.IsZero() {
			h.lastUsed = now
		}
		h.finish(now)
		x.confirm(slot, h)
	case Removed:
		x.removeHolder(now, slot, e.Piece)
	case Cleared:
		x.clear(slot)
	}
}

// clear invalidates all entries of slot and keeps its position in the event stream.
func (x *Index) clear(slot Slot) {
	s := x.state(slot)
	s.epoch++
	s.confirmedPieces = 0
}

// confirm marks h as confirmed by an event.
func (x *Index) confirm(slot Slot, h *holder) {
	s := x.state(slot)
	if !h.confirmed {
		s.confirmedPieces++
	}
	h.confirmed = true
	h.missedRemovals = s.missedRemovals
}

// removeHolder removes slot from the holders of a piece after an event reported its
// eviction, and learns from the piece's age.
func (x *Index) removeHolder(now time.Time, slot Slot, id masticprompt.PieceID) {
	r, ok := x.pieces[id]
	if !ok {
		return
	}
	if h := r.find(slot, x.state(slot).epoch); h != nil {
		x.state(slot).learnFromRemoval(now.Sub(h.lastUsed))
		x.uncountConfirmed(*h)
	}
	r.remove(slot)
}

// Churn returns the rate at which slot stores new pieces, relative to the mean of n backend
// servers. It returns 1 while too few events are known.
func (x *Index) Churn(now time.Time, slot Slot, n int) float64 {
	mean := x.total.decayedChurn(now) / float64(max(1, n))
	s, ok := x.states[slot]
	if !ok || mean < minChurn {
		return 1
	}
	return s.decayedChurn(now) / mean
}

// HasRecentEvents reports whether recent cache events are available, so that the index also covers
// requests routed by other hosts.
func (x *Index) HasRecentEvents(now time.Time) bool { return x.total.decayedChurn(now) >= minChurn }
