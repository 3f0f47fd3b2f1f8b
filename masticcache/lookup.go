package masticcache

import (
	"time"

	"masticladder/masticprompt"
)

// Lookup is the beliefs about one prompt's pieces, found once for all candidates.
// It holds until the next change of the Beliefs.
type Lookup struct {
	beliefs *Beliefs
	pieces  []masticprompt.Piece
	records []*record
}

// Lookup finds the beliefs about pieces, reusing the memory of l. Pieces beyond the
// first that nobody is believed to hold are not looked up.
func (b *Beliefs) Lookup(l Lookup, pieces []masticprompt.Piece) Lookup {
	l.beliefs = b
	l.pieces = pieces
	l.records = l.records[:0]
	for _, p := range pieces {
		r, ok := b.pieces[p.ID]
		if !ok || len(r.holders) == 0 {
			break
		}
		l.records = append(l.records, r)
	}
	return l
}

// Looked returns the number of pieces with believed holders from the start of the prompt.
func (l Lookup) Looked() int { return len(l.records) }

// Cached returns the expected number of cached tokens of the prompt on slot.
func (l Lookup) Cached(now time.Time, slot Slot) float64 {
	s, ok := l.beliefs.servers[slot]
	if !ok {
		return 0
	}
	worth := 1.0
	tokens := 0.0
	for i, r := range l.records {
		h := r.find(slot, s.epoch)
		if h == nil {
			break
		}
		worth = min(worth, s.worth(now, h))
		tokens += worth * float64(l.pieces[i].Tokens)
	}
	return tokens
}

// Settled reports whether the first piece has been on slot since before the given time, so
// that it has been computed by now.
func (l Lookup) Settled(slot Slot, before time.Time) bool {
	s, ok := l.beliefs.servers[slot]
	if !ok || len(l.records) == 0 {
		return false
	}
	h := l.records[0].find(slot, s.epoch)
	return h != nil && h.since.Before(before)
}

// Holders calls use with the believed holders, those of the longest prefix first,
// until use returns false. A slot may come more than once.
func (l Lookup) Holders(use func(Slot) bool) {
	for i := len(l.records) - 1; i >= 0; i-- {
		for _, h := range l.records[i].holders {
			if h.epoch != l.beliefs.server(h.slot).epoch {
				continue
			}
			if !use(h.slot) {
				return
			}
		}
	}
}

// Trial returns the belief without an event that a request of the prompt on slot puts
// to the test: the one about the longest prefix.
func (l Lookup) Trial(now time.Time, slot Slot) Trial {
	var t Trial
	s, ok := l.beliefs.servers[slot]
	if !ok {
		return t
	}
	var through int64
	for i, r := range l.records {
		h := r.find(slot, s.epoch)
		if h == nil {
			break
		}
		through += l.pieces[i].Tokens
		if !h.listed {
			t = Trial{Age: max(0, now.Sub(h.at)), Tokens: through}
		}
	}
	return t
}
