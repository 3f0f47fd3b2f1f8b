// Package masticcache keeps beliefs of which prompt pieces each backend server has
// cached. Beliefs are hints: a wrong one costs time and never an answer.
package masticcache

import (
	"time"

	"masticladder/masticprompt"
)

const (
	// defaultMaxPieces bounds the pieces with beliefs.
	defaultMaxPieces = 1 << 16
	// maxHolders bounds the believed holders of one piece.
	maxHolders = 32
)

// Slot is the small number of a backend server in the tables of a router.
type Slot int32

// Epoch numbers the caches that a slot has had; it grows when a cache is lost.
type Epoch uint32

// holder is the belief that a slot has a piece.
type holder struct {
	slot  Slot
	epoch Epoch
	// at is when the piece was last used there.
	at time.Time
	// listed reports that an event of the slot's current stream named the piece.
	listed bool
	// doubt is the slot's doubt when the belief was formed or confirmed.
	doubt float64
	// since is when the piece was first used there in one stretch.
	since time.Time
	// written is what the slot had written when the piece was last used there.
	written float64
}

// Beliefs holds all beliefs of one router. It is not safe for concurrent use.
type Beliefs struct {
	pieces    map[masticprompt.PieceID]*record
	newest    *record
	oldest    *record
	maxPieces int
	servers   map[Slot]*server
	// total counts the stored pieces of all backend servers.
	total server
}

// Option changes how New builds Beliefs.
type Option func(*Beliefs)

// WithMaxPieces bounds the number of pieces with beliefs.
func WithMaxPieces(n int) Option { return func(b *Beliefs) { b.maxPieces = n } }

// New returns empty Beliefs.
func New(options ...Option) *Beliefs {
	b := &Beliefs{
		pieces:    map[masticprompt.PieceID]*record{},
		servers:   map[Slot]*server{},
		maxPieces: defaultMaxPieces,
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// Len returns the number of pieces with beliefs.
func (b *Beliefs) Len() int { return len(b.pieces) }

// Epoch returns the current epoch of slot.
func (b *Beliefs) Epoch(slot Slot) Epoch { return b.server(slot).epoch }

// Reset voids all beliefs about slot: its incarnation or its weights have changed.
func (b *Beliefs) Reset(slot Slot) {
	s := b.server(slot)
	s.epoch++
	s.next = 0
	s.streaming = false
	s.listed = 0
}

// Touch records that slot used pieces at now, in the cache of epoch.
func (b *Beliefs) Touch(now time.Time, slot Slot, epoch Epoch, pieces []masticprompt.Piece) {
	s := b.server(slot)
	if epoch != s.epoch {
		return
	}
	for _, p := range pieces {
		h := b.hold(p.ID, slot)
		if h.at.IsZero() || s.evicted(h) > 0 {
			s.written += float64(p.Tokens)
			h.since = now
		}
		h.at = now
		h.doubt = s.doubt
		h.written = s.written
	}
}

// SetCapacity states how many tokens the cache of slot has room for. Beliefs then hold as
// long as no more than that was written after them: caches evict what was not used for
// longest.
func (b *Beliefs) SetCapacity(slot Slot, tokens int64) { b.server(slot).capacity = float64(tokens) }

// Trial is a belief without an event that a request puts to the test.
type Trial struct {
	// Age is the time since the last use that was believed in.
	Age time.Duration
	// Tokens is the length of the prompt through the piece; zero is no trial.
	Tokens int64
}

// Observe learns from the number of cached tokens that slot reported for a trial.
func (b *Beliefs) Observe(slot Slot, epoch Epoch, t Trial, cachedTokens int64) {
	s := b.server(slot)
	if epoch == s.epoch && t.Tokens > 0 {
		s.learn(t.Age, cachedTokens >= t.Tokens)
	}
}

func (b *Beliefs) server(slot Slot) *server {
	s, ok := b.servers[slot]
	if !ok {
		s = newServer()
		b.servers[slot] = s
	}
	return s
}

// hold returns the belief that slot has the piece, adding it where there is none.
func (b *Beliefs) hold(id masticprompt.PieceID, slot Slot) *holder {
	epoch := b.server(slot).epoch
	r := b.record(id)
	victim := 0
	for i := range r.holders {
		h := &r.holders[i]
		if h.slot == slot {
			if h.epoch != epoch {
				*h = holder{slot: slot, epoch: epoch}
			}
			return h
		}
		if h.at.Before(r.holders[victim].at) {
			victim = i
		}
	}
	added := holder{slot: slot, epoch: epoch}
	if len(r.holders) < maxHolders {
		r.holders = append(r.holders, added)
		return &r.holders[len(r.holders)-1]
	}
	b.forget(r.holders[victim])
	r.holders[victim] = added
	return &r.holders[victim]
}
