package masticcache

import "masticladder/masticprompt"

// record holds the holders of one piece. Records form a list ordered by last use.
type record struct {
	id           masticprompt.PieceID
	holders      []holder
	newer, older *record
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
func (b *Beliefs) ensureRecord(id masticprompt.PieceID) *record {
	r, ok := b.pieces[id]
	if ok {
		b.unlink(r)
		b.pushNewest(r)
		return r
	}
	if len(b.pieces) >= b.maxPieces {
		b.evictRecord(b.oldest)
	}
	r = &record{id: id}
	b.pieces[id] = r
	b.pushNewest(r)
	return r
}

func (b *Beliefs) evictRecord(r *record) {
	for _, h := range r.holders {
		b.uncountConfirmed(h)
	}
	b.unlink(r)
	delete(b.pieces, r.id)
}

func (b *Beliefs) pushNewest(r *record) {
	r.newer = nil
	r.older = b.newest
	if b.newest != nil {
		b.newest.newer = r
	}
	b.newest = r
	if b.oldest == nil {
		b.oldest = r
	}
}

func (b *Beliefs) unlink(r *record) {
	if r.newer != nil {
		r.newer.older = r.older
	} else {
		b.newest = r.older
	}
	if r.older != nil {
		r.older.newer = r.newer
	} else {
		b.oldest = r.newer
	}
}

// uncountConfirmed removes h from the count of confirmed pieces of its slot.
func (b *Beliefs) uncountConfirmed(h holder) {
	if s := b.state(h.slot); h.confirmed && h.epoch == s.epoch {
		s.confirmedPieces--
	}
}
