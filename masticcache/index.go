// Package masticcache is an approximate index of the prompt pieces that each backend server
// has in its prefix cache. Its entries are hints: a wrong one costs time and never changes
// an answer.
package masticcache

import (
	"time"

	"masticladder/masticprompt"
)

const (
	// defaultMaxPieces bounds the number of indexed pieces.
	defaultMaxPieces = 1 << 16
	// maxHolders bounds the holders of one piece.
	maxHolders = 32
)

// Slot is the index of a backend server in the tables of a router.
type Slot int32

// Epoch is the generation of a slot's cache; it increases when the cache is lost.
type Epoch uint32

// holder is a slot whose cache probably contains a piece.
type holder struct {
	slot  Slot
	epoch Epoch
	// lastUsed is when Begin or Touch last recorded the piece for the slot or, before that, when an
	// event reported it as stored.
	lastUsed time.Time
	// confirmed reports whether an event of the slot's current stream reported the piece as
	// stored.
	confirmed bool
	// missedRemovals is the slot's missedRemovals when the holder was last used or confirmed.
	missedRemovals float64
	// reading is when the piece is in the cache. The zero value means that it is.
	reading Reading
	// writtenTokens is the slot's writtenTokens when it last used the piece.
	writtenTokens float64
}

// Index is the index of one router. Its size is bounded by evicting the least recently used
// pieces. It is not safe for concurrent use.
type Index struct {
	pieces    map[masticprompt.PieceID]*record
	newest    *record
	oldest    *record
	maxPieces int
	states    map[Slot]*cacheState
	// parts are the pieces by the key of their part, nil if parts are not tracked.
	parts map[uint64][]masticprompt.PieceID
	// total counts the pieces stored by all backend servers together.
	total cacheState
}

// Option configures New.
type Option func(*Index)

// WithMaxPieces bounds the number of indexed pieces.
func WithMaxPieces(n int) Option { return func(x *Index) { x.maxPieces = n } }

// New returns an empty index.
func New(options ...Option) *Index {
	x := &Index{
		pieces:    map[masticprompt.PieceID]*record{},
		states:    map[Slot]*cacheState{},
		maxPieces: defaultMaxPieces,
	}
	for _, o := range options {
		o(x)
	}
	return x
}

// Len returns the number of indexed pieces.
func (x *Index) Len() int { return len(x.pieces) }

// Epoch returns the current epoch of slot.
func (x *Index) Epoch(slot Slot) Epoch { return x.state(slot).epoch }

// Reset invalidates all entries of slot, after its incarnation or its weights have changed.
func (x *Index) Reset(slot Slot) {
	s := x.state(slot)
	s.epoch++
	s.nextEvent = 0
	s.streamStarted = false
	s.confirmedPieces = 0
}

// Touch records that slot has the pieces at now and uses them. It is ignored if epoch is not the
// current one.
func (x *Index) Touch(now time.Time, slot Slot, epoch Epoch, pieces []masticprompt.Piece) {
	x.Begin(now, slot, epoch, pieces, Reading{ExpectedAt: now, AssumedAt: now})
	x.Finish(now, slot, epoch, pieces)
}

// SetCapacity sets how many tokens fit into the cache of slot. A piece is then expected to
// stay cached until about that many tokens were written after its last use, since caches
// evict the least recently used pieces.
func (x *Index) SetCapacity(slot Slot, tokens int64) {
	x.state(slot).capacityTokens = float64(tokens)
}

// HitPrediction is a predicted cache hit, not confirmed by an event, that a request verifies.
type HitPrediction struct {
	// Age is the time since the recorded last use of the piece.
	Age time.Duration
	// Tokens is the length of the prompt up to the end of the piece; zero means no prediction.
	Tokens int64
}

// Observe adjusts the half-life of slot by the number of cached tokens that it reported for
// a prediction.
func (x *Index) Observe(slot Slot, epoch Epoch, t HitPrediction, cachedTokens int64) {
	s := x.state(slot)
	if epoch == s.epoch && t.Tokens > 0 {
		s.learnFromPrediction(t.Age, cachedTokens >= t.Tokens)
	}
}

func (x *Index) state(slot Slot) *cacheState {
	s, ok := x.states[slot]
	if !ok {
		s = newCacheState()
		x.states[slot] = s
	}
	return s
}

// ensureHolder returns the holder of the piece for slot and adds it if missing. If the piece
// has maxHolders, the least recently used one is replaced.
func (x *Index) ensureHolder(id masticprompt.PieceID, slot Slot) *holder {
	epoch := x.state(slot).epoch
	r := x.ensureRecord(id)
	victim := 0
	for i := range r.holders {
		h := &r.holders[i]
		if h.slot == slot {
			if h.epoch != epoch {
				*h = holder{slot: slot, epoch: epoch}
			}
			return h
		}
		if h.lastUsed.Before(r.holders[victim].lastUsed) {
			victim = i
		}
	}
	added := holder{slot: slot, epoch: epoch}
	if len(r.holders) < maxHolders {
		r.holders = append(r.holders, added)
		return &r.holders[len(r.holders)-1]
	}
	x.uncountConfirmed(r.holders[victim])
	r.holders[victim] = added
	return &r.holders[victim]
}
