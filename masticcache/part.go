package masticcache

import (
	"time"

	"masticladder/masticprompt"
)

const (
	// partSlack is the number of tokens that a server may lack of a part that counts as cached: it
	// caches whole blocks.
	partSlack = 16
	// minSharedUses and minLongTokens define the pieces that matter to other hosts: those asked for at
	// least twice, or long.
	minSharedUses = 2
	minLongTokens = 1000
	// maxPiecesPerPart bounds the pieces of one part, which are that part behind different ones.
	maxPiecesPerPart = 16
)

// PartEvent is a change of a part in the cache of a server that names parts, not pieces.
type PartEvent struct {
	// Part is the key of the part, see masticprompt.PartKey.
	Part uint64
	// Stored reports that tokens were added, otherwise some were evicted. Tokens is how many the server
	// has of the part afterwards.
	Stored bool
	Tokens int64
}

// TrackParts makes the index keep the pieces of each part, which ApplyPart needs.
func (x *Index) TrackParts() {
	if x.parts == nil {
		x.parts = map[uint64][]masticprompt.PieceID{}
	}
}

// describe records what events need to know of a piece that a request uses.
func (x *Index) describe(p masticprompt.Piece) {
	if x.parts == nil || p.Part == 0 {
		return
	}
	r := x.pieces[p.ID]
	r.uses = min(r.uses+1, minSharedUses)
	if r.part != 0 {
		return
	}
	if ids := x.parts[p.Part]; len(ids) < maxPiecesPerPart {
		r.part, r.tokens = p.Part, p.Tokens
		x.parts[p.Part] = append(ids, p.ID)
	}
}

// forgetPart removes an evicted record from its part.
func (x *Index) forgetPart(r *record) {
	if r.part == 0 {
		return
	}
	ids := x.parts[r.part]
	for i, id := range ids {
		if id == r.id {
			ids[i] = ids[len(ids)-1]
			ids = ids[:len(ids)-1]
			break
		}
	}
	if len(ids) == 0 {
		delete(x.parts, r.part)
		return
	}
	x.parts[r.part] = ids
}

// ApplyPart updates the entries of slot by an event. It returns the pieces whose state it changed and that
// matter to other hosts: gone reports that slot does not have them any more, otherwise it has them now.
// Parts of prompts that this host has not seen are ignored. A piece that is being read stays so after an
// eviction, because events come late.
func (x *Index) ApplyPart(now time.Time, slot Slot, e PartEvent) (changed []masticprompt.Piece, gone bool) {
	for _, id := range x.parts[e.Part] {
		r := x.pieces[id]
		h := r.find(slot, x.state(slot).epoch)
		whole := e.Tokens+partSlack > r.tokens
		switch {
		case !e.Stored && !whole && h != nil && !h.pending(now):
			x.uncountConfirmed(*h)
			r.remove(slot)
		case e.Stored && whole && (h == nil || h.pending(now)):
			x.markStored(now, slot, id, r.tokens)
		default:
			continue
		}
		if r.uses >= minSharedUses || r.tokens >= minLongTokens {
			changed = append(changed, masticprompt.Piece{ID: id, Tokens: r.tokens, Part: r.part})
		}
	}
	return changed, !e.Stored
}

// markStored records that slot has a piece, without a use of it.
func (x *Index) markStored(now time.Time, slot Slot, id masticprompt.PieceID, tokens int64) {
	s := x.state(slot)
	h := x.ensureHolder(id, slot)
	if h.lastUsed.IsZero() {
		s.writtenTokens += float64(tokens)
		h.lastUsed, h.missedRemovals, h.writtenTokens = now, s.missedRemovals, s.writtenTokens
	}
	h.finish(now)
}

// Remove records that slot does not have the pieces any more. Pieces that are being read stay.
func (x *Index) Remove(now time.Time, slot Slot, pieces []masticprompt.Piece) {
	for _, p := range pieces {
		if h := x.holderOf(slot, p.ID); h != nil && !h.pending(now) {
			x.uncountConfirmed(*h)
			x.pieces[p.ID].remove(slot)
		}
	}
}
