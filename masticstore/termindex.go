package masticstore

import (
	"github.com/rotisserie/eris"

	"masticladder/masticproto"
)

// termIndex has the terms of the stored entries after base, which Save compares a snapshot with.
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

func (t *termIndex) last() uint64 { return t.base + uint64(len(t.terms)) }

// add appends entries; one replaces another of the same index and all after it.
func (t *termIndex) add(entries []*masticproto.Entry) error {
	for _, e := range entries {
		if e.GetIndex() <= t.base || e.GetIndex() > t.last()+1 {
			return eris.Errorf("entry %d does not join the log from %d to %d", e.GetIndex(), t.base+1, t.last())
		}
		t.terms = append(t.terms[:e.GetIndex()-t.base-1], e.GetTerm())
	}
	return nil
}

// keep moves base to a snapshot. It keeps the later entries and returns true if the log
// has the snapshot's entry; else it drops all entries and returns false.
func (t *termIndex) keep(index, term uint64) bool {
	if index == t.base {
		return true
	}
	if index < t.base || index > t.last() || t.terms[index-t.base-1] != term {
		*t = termIndex{base: index}
		return false
	}
	t.terms = append([]uint64(nil), t.terms[index-t.base:]...)
	t.base = index
	return true
}
