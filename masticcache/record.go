package masticcache

import "masticladder/masticprompt"

// record holds the believed holders of one piece, in a list by last use.
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

// record returns the record of a piece as the newest one, evicting the oldest when full.
func (b *Beliefs) record(id masticprompt.PieceID) *record {
	r, ok := b.pieces[id]
	if ok {
		b.unlink(r)
		b.push(r)
		return r
	}
	if len(b.pieces) >= b.maxPieces {
		b.drop(b.oldest)
	}
	r = &record{id: id}
	b.pieces[id] = r
	b.push(r)
	return r
}

func (b *Beliefs) drop(r *record) {
	for _, h := range r.holders {
		b.forget(h)
	}
	b.unlink(r)
	delete(b.pieces, r.id)
}

func (b *Beliefs) push(r *record) {
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

// forget counts h out of the listed pieces of its slot.
func (b *Beliefs) forget(h holder) {
	if s := b.server(h.slot); h.listed && h.epoch == s.epoch {
		s.listed--
	}
}
