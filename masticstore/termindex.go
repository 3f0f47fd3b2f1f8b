package masticstore

import (
	"github.com/rotisserie/eris"

	"masticladder/masticproto"
)

// termIndex contains the terms of the stored entries after index base. Save looks up the entry of
// a snapshot in it.
type termIndex struct {
	base  uint64
	terms []uint64
}

func newTermIndex(base uint64, entries []*masticproto.Entry) termIndex {
	t := termIndex{base: base}
	if len(entries) > 0 {
		t.base = entries[0].GetIndex() - 1
	}
	for _, e := range entries {
		t.terms = append(t.terms, e.GetTerm())
	}
	return t
}

func (t *termIndex) lastIndex() uint64 { return t.base + uint64(len(t.terms)) }

// add appends entries. Each replaces one with the same index and all after it.
func (t *termIndex) add(entries []*masticproto.Entry) error {
	for _, e := range entries {
		if e.GetIndex() <= t.base || e.GetIndex() > t.lastIndex()+1 {
			return eris.Errorf("entry %d is not contiguous with the log from %d to %d", e.GetIndex(), t.base+1, t.lastIndex())
		}
		t.terms = append(t.terms[:e.GetIndex()-t.base-1], e.GetTerm())
	}
	return nil
}

// compact moves base to the index of a snapshot. If the log has the snapshot's entry, it keeps the
// later entries and returns true; otherwise it drops all entries and returns false.
func (t *termIndex) compact(index, term uint64) bool {
	if index == t.base {
		return true
	}
	if index < t.base || index > t.lastIndex() || t.terms[index-t.base-1] != term {
		*t = termIndex{base: index}
		return false
	}
	t.terms = append([]uint64(nil), t.terms[index-t.base:]...)
	t.base = index
	return true
}
