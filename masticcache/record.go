package masticcache

import "masticladder/masticprompt"

// record holds the holders of one piece. Records form a list ordered by last use.
type record struct {
	id           masticprompt.PieceID
	holders      []holder
	newer, older *record
	// part is the key of the piece's part if the index tracks parts, tokens its length; uses counts
	// requests with the piece up to minSharedUses.
	part   uint64
	tokens int64
	uses   uint8
}

func (r *record) find(slot Slot, epoch Epoch) *holder {
	for i := range r.holders {
		h := &r.holders[i]
		if h.slot == slot && h.epoch == epoch {
			return h
		}
	}
	return nil
}

func (r *record) remove(slot Slot) {
	for i, h := range r.holders {
		if h.slot != slot {
			continue
		}
		r.holders[i] = r.holders[len(r.holders)-1]
		r.holders = r.holders[:len(r.holders)-1]
		return
	}
}

// ensureRecord returns the record of a piece, adding it if missing, and makes it the newest.
// It evicts the oldest record when the index is full.
func (x *Index) ensureRecord(id masticprompt.PieceID) *record {
	r, ok := x.pieces[id]
	if ok {
		x.unlink(r)
		x.pushNewest(r)
		return r
	}
	if len(x.pieces) >= x.maxPieces {
		x.evictRecord(x.oldest)
	}
	r = &record{id: id}
	x.pieces[id] = r
	x.pushNewest(r)
	return r
}

func (x *Index) evictRecord(r *record) {
	for _, h := range r.holders {
		x.uncountConfirmed(h)
	}
	x.unlink(r)
	x.forgetPart(r)
	delete(x.pieces, r.id)
}

func (x *Index) pushNewest(r *record) {
	r.newer = nil
	r.older = x.newest
	if x.newest != nil {
		x.newest.newer = r
	}
	x.newest = r
	if x.oldest == nil {
		x.oldest = r
	}
}

func (x *Index) unlink(r *record) {
	if r.newer != nil {
		r.newer.older = r.older
	} else {
		x.newest = r.older
	}
	if r.older != nil {
		r.older.newer = r.newer
	} else {
		x.oldest = r.newer
	}
}

// uncountConfirmed removes h from the count of confirmed pieces of its slot.
func (x *Index) uncountConfirmed(h holder) {
	if s := x.state(h.slot); h.confirmed && h.epoch == s.epoch {
		s.confirmedPieces--
	}
}
