package masticstore

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

// replay rebuilds the stored state from the records of the segments, in order.
type replay struct {
	storage string
	hard    *masticproto.HardState
	reset   *masticproto.LogReset
	entries []*masticproto.Entry
}

// record applies one record. The first one of a segment is its header.
func (r *replay) record(message []byte, number uint64, first bool) error {
	var s masticproto.StoreRecord
	if err := proto.Unmarshal(message, &s); err != nil {
		return eris.Wrap(err, "decode a record")
	}
	h := s.GetHeader()
	if first != (h != nil) {
		return eris.New("a segment header is missing or misplaced")
	}
	if first && (h.GetNumber() != number || h.GetStorage() != r.storage) {
		return eris.New("the segment belongs to another folder or place")
	}
	if s.GetHard() != nil {
		r.hard = s.GetHard()
	}
	if s.GetReset_() != nil {
		r.reset = s.GetReset_()
		r.entries = nil
	}
	for _, e := range s.GetEntries() {
		if err := r.entry(e); err != nil {
			return err
		}
	}
	return nil
}

// entry appends an entry; it replaces one of the same index and all after it. The first
// entries may be gone with their segments where a snapshot covers them.
func (r *replay) entry(e *masticproto.Entry) error {
	switch {
	case len(r.entries) == 0 && r.reset == nil:
	case len(r.entries) == 0 && e.GetIndex() != r.reset.GetIndex()+1:
		return eris.Errorf("entry %d does not follow the snapshot at %d", e.GetIndex(), r.reset.GetIndex())
	case len(r.entries) > 0 && e.GetIndex() > r.last()+1:
		return eris.Errorf("entry %d does not follow entry %d", e.GetIndex(), r.last())
	case len(r.entries) > 0 && e.GetIndex() < r.first():
		r.entries = nil
	case len(r.entries) > 0:
		r.entries = r.entries[:e.GetIndex()-r.first()]
	}
	r.entries = append(r.entries, e)
	return nil
}

func (r *replay) first() uint64 { return r.entries[0].GetIndex() }

func (r *replay) last() uint64 { return r.entries[len(r.entries)-1].GetIndex() }

// join drops the entries that do not belong to the snapshot, as after a crash between
// storing the leader's snapshot and resetting the log. It reports whether it dropped any.
func (r *replay) join(s *masticproto.Snapshot) (bool, error) {
	if r.reset.GetIndex() > s.GetIndex() {
		return false, eris.Errorf("the snapshot at %d is missing", r.reset.GetIndex())
	}
	if len(r.entries) == 0 {
		return s.GetIndex() > r.reset.GetIndex(), nil
	}
	if r.first() > s.GetIndex()+1 {
		return false, eris.Errorf("the entries from %d to %d are missing", s.GetIndex()+1, r.first()-1)
	}
	if r.first() == s.GetIndex()+1 || r.matches(s) {
		return false, nil
	}
	r.entries = nil
	return true, nil
}

// matches reports whether the entry at the snapshot's index has its term.
func (r *replay) matches(s *masticproto.Snapshot) bool {
	if s.GetIndex() < r.first() || s.GetIndex() > r.last() {
		return false
	}
	return r.entries[s.GetIndex()-r.first()].GetTerm() == s.GetTerm()
}

func (r *replay) lastOrZero() uint64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.last()
}
