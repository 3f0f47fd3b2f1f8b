package masticstore

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

// replay rebuilds the stored state from the records of the segments, applied in order.
type replay struct {
	storage   string
	hardState *masticproto.HardState
	reset     *masticproto.LogReset
	entries   []*masticproto.Entry
}

// applyRecord applies one record of the segment with the given number and returns it. Exactly the first record of
// a segment is a header.
func (r *replay) applyRecord(message []byte, number uint64, isHeader bool) (*masticproto.StoreRecord, error) {
	s := &masticproto.StoreRecord{}
	if err := proto.Unmarshal(message, s); err != nil {
		return nil, eris.Wrap(err, "decode a record")
	}
	h := s.GetHeader()
	if isHeader != (h != nil) {
		return nil, eris.New("a segment header is missing or misplaced")
	}
	if isHeader && (h.GetNumber() != number || h.GetStorage() != r.storage) {
		return nil, eris.New("the segment header names another folder or segment number")
	}
	if s.GetHard() != nil {
		r.hardState = s.GetHard()
	}
	if s.GetReset_() != nil {
		r.reset = s.GetReset_()
		r.entries = nil
	}
	for _, e := range s.GetEntries() {
		if err := r.appendEntry(e); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// appendEntry appends an entry. It replaces a stored entry with the same index and all after it.
// The log may start after index 1, because segments that a snapshot covers are removed.
func (r *replay) appendEntry(e *masticproto.Entry) error {
	switch {
	case len(r.entries) == 0 && r.reset == nil:
	case len(r.entries) == 0 && e.GetIndex() != r.reset.GetIndex()+1:
		return eris.Errorf("entry %d does not follow the snapshot at %d", e.GetIndex(), r.reset.GetIndex())
	case len(r.entries) > 0 && e.GetIndex() > r.lastIndex()+1:
		return eris.Errorf("entry %d does not follow entry %d", e.GetIndex(), r.lastIndex())
	case len(r.entries) > 0 && e.GetIndex() < r.firstIndex():
		r.entries = nil
	case len(r.entries) > 0:
		r.entries = r.entries[:e.GetIndex()-r.firstIndex()]
	}
	r.entries = append(r.entries, e)
	return nil
}

func (r *replay) firstIndex() uint64 { return r.entries[0].GetIndex() }

func (r *replay) lastIndex() uint64 { return r.entries[len(r.entries)-1].GetIndex() }

// reconcile drops all entries if they do not match the snapshot, which happens after a crash
// between storing a snapshot from the leader and resetting the log. It reports whether the log
// has to be reset to the snapshot.
func (r *replay) reconcile(s *masticproto.Snapshot) (bool, error) {
	if r.reset.GetIndex() > s.GetIndex() {
		return false, eris.Errorf("the snapshot at %d is missing", r.reset.GetIndex())
	}
	if len(r.entries) == 0 {
		return s.GetIndex() > r.reset.GetIndex(), nil
	}
	if r.firstIndex() > s.GetIndex()+1 {
		return false, eris.Errorf("the entries from %d to %d are missing", s.GetIndex()+1, r.firstIndex()-1)
	}
	if r.firstIndex() == s.GetIndex()+1 || r.matchesTerm(s) {
		return false, nil
	}
	r.entries = nil
	return true, nil
}

// matchesTerm reports whether the log has an entry with the snapshot's index and term.
func (r *replay) matchesTerm(s *masticproto.Snapshot) bool {
	if s.GetIndex() < r.firstIndex() || s.GetIndex() > r.lastIndex() {
		return false
	}
	return r.entries[s.GetIndex()-r.firstIndex()].GetTerm() == s.GetTerm()
}
