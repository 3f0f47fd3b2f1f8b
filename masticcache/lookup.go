package masticcache

import (
	"time"

	"masticladder/masticprompt"
)

// Lookup is the result of looking up the pieces of one prompt, shared by all candidates.
// It is valid until the next change of the Index.
type Lookup struct {
	index   *Index
	pieces  []masticprompt.Piece
	records []*record
}

// Lookup looks up pieces, reusing the memory of l. It stops at the first piece without
// holders.
func (x *Index) Lookup(l Lookup, pieces []masticprompt.Piece) Lookup {
	l.index = x
	l.pieces = pieces
	l.records = l.records[:0]
	for _, p := range pieces {
		r, ok := x.pieces[p.ID]
		if !ok || len(r.holders) == 0 {
			break
		}
		l.records = append(l.records, r)
	}
	return l
}

// MatchedPieces returns the number of consecutive pieces with holders from the start of the prompt.
func (l Lookup) MatchedPieces() int { return len(l.records) }

// Cached returns the expected number of tokens of the prompt that slot has or is reading.
func (l Lookup) Cached(now time.Time, slot Slot) float64 {
	s, ok := l.index.states[slot]
	if !ok {
		return 0
	}
	probability := 1.0
	tokens := 0.0
	for i, r := range l.records {
		h := r.find(slot, s.epoch)
		if h == nil {
			break
		}
		probability = min(probability, s.probability(now, h))
		tokens += probability * float64(l.pieces[i].Tokens)
	}
	return tokens
}

// Holders calls yield with the holders, those of the longest prefix first, until yield
// returns false. A slot may be passed more than once.
func (l Lookup) Holders(yield func(Slot) bool) {
	for i := len(l.records) - 1; i >= 0; i-- {
		for _, h := range l.records[i].holders {
			if h.epoch != l.index.state(h.slot).epoch {
				continue
			}
			if !yield(h.slot) {
				return
			}
		}
	}
}

// HitPrediction returns the prediction that a request with the prompt tests on slot: the longest
// prefix expected in the cache whose last piece is unconfirmed by events. The cached tokens that
// the request reports show whether it was there.
func (l Lookup) HitPrediction(now time.Time, slot Slot) HitPrediction {
	var t HitPrediction
	s, ok := l.index.states[slot]
	if !ok {
		return t
	}
	var prefixTokens int64
	for i, r := range l.records {
		h := r.find(slot, s.epoch)
		if h == nil {
			break
		}
		prefixTokens += l.pieces[i].Tokens
		if !h.confirmed {
			t = HitPrediction{Age: max(0, now.Sub(h.lastUsed)), Tokens: prefixTokens}
		}
	}
	return t
}
