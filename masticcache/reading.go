package masticcache

import (
	"time"

	"masticladder/masticprompt"
)

// Reading is when the pieces of a prompt that was sent to a backend server, or that a store is to save,
// are in the cache. Until then they are being computed or transferred.
type Reading struct {
	// ExpectedAt is the predicted time.
	ExpectedAt time.Time
	// AssumedAt is the time from which the pieces count as cached if Finish was not called before.
	AssumedAt time.Time
}

// Begin records that a request with the pieces was sent to slot at now, or that the store of slot is to
// save them. Pieces that slot has already, or that it already reads, keep their state. It is ignored if
// epoch is not the current one.
func (x *Index) Begin(now time.Time, slot Slot, epoch Epoch, pieces []masticprompt.Piece, r Reading) {
	s := x.state(slot)
	if epoch != s.epoch {
		return
	}
	for _, p := range pieces {
		h := x.ensureHolder(p.ID, slot)
		x.describe(p)
		if h.lastUsed.IsZero() || s.evictionProbability(h) > 0 {
			s.writtenTokens += float64(p.Tokens)
			h.reading = r
		}
		h.lastUsed = now
		h.missedRemovals = s.missedRemovals
		h.writtenTokens = s.writtenTokens
	}
}

// Finish records that slot has the pieces from now on, if they are listed for it. It is ignored if epoch
// is not the current one.
func (x *Index) Finish(now time.Time, slot Slot, epoch Epoch, pieces []masticprompt.Piece) {
	if epoch != x.state(slot).epoch {
		return
	}
	for _, p := range pieces {
		if h := x.holderOf(slot, p.ID); h != nil {
			h.finish(now)
		}
	}
}

// Abandon removes the pieces that slot was still reading, after their request failed. It is ignored if
// epoch is not the current one.
func (x *Index) Abandon(now time.Time, slot Slot, epoch Epoch, pieces []masticprompt.Piece) {
	if epoch != x.state(slot).epoch {
		return
	}
	for _, p := range pieces {
		if h := x.holderOf(slot, p.ID); h != nil && h.pending(now) {
			x.uncountConfirmed(*h)
			x.pieces[p.ID].remove(slot)
		}
	}
}

// MissingTokens returns the length of the pieces that slot neither has nor is reading, in tokens.
func (x *Index) MissingTokens(slot Slot, pieces []masticprompt.Piece) float64 {
	s := x.state(slot)
	n := 0.0
	for _, p := range pieces {
		if h := x.holderOf(slot, p.ID); h == nil || s.evictionProbability(h) > 0 {
			n += float64(p.Tokens)
		}
	}
	return n
}

// holderOf returns the current holder of a piece for slot, or nil.
func (x *Index) holderOf(slot Slot, id masticprompt.PieceID) *holder {
	r, ok := x.pieces[id]
	if !ok {
		return nil
	}
	return r.find(slot, x.state(slot).epoch)
}

// pending reports whether the piece is still being read.
func (h *holder) pending(now time.Time) bool { return h.reading.AssumedAt.After(now) }

// finish records that the piece is in the cache at now.
func (h *holder) finish(now time.Time) {
	if h.pending(now) {
		h.reading = Reading{ExpectedAt: now, AssumedAt: now}
	}
}

// Presence is what a slot is expected to have of a prompt.
type Presence struct {
	// Tokens is the expected length of the prefix that slot has or is reading, Complete that of the
	// part that it has.
	Tokens, Complete float64
	// ExpectedAt is when slot is predicted to have all of Tokens, zero if it has. It may have passed.
	ExpectedAt time.Time
}

// Presence returns what slot is expected to have of the prompt. Prompts are read from their start, so
// that a piece is complete if a later one is.
func (l Lookup) Presence(now time.Time, slot Slot) Presence {
	var out Presence
	s, ok := l.index.states[slot]
	if !ok {
		return out
	}
	probability := 1.0
	for i, r := range l.records {
		h := r.find(slot, s.epoch)
		if h == nil {
			break
		}
		probability = min(probability, s.probability(now, h))
		out.Tokens += probability * float64(l.pieces[i].Tokens)
		switch {
		case !h.pending(now):
			out.Complete, out.ExpectedAt = out.Tokens, time.Time{}
		case h.reading.ExpectedAt.After(out.ExpectedAt):
			out.ExpectedAt = h.reading.ExpectedAt
		}
	}
	return out
}
