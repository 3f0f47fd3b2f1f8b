package masticstore

import (
	"fmt"
	"slices"
	"strings"

	"masticladder/masticproto"
)

const segmentPrefix = "log-"

// segment is one file of the log.
type segment struct {
	number uint64
	// maxIndex is the highest index of an entry in the segment that no later record replaces.
	maxIndex uint64
	// bytes is the size of the file.
	bytes int64
}

func (g segment) name() string { return fmt.Sprintf("%s%016x", segmentPrefix, g.number) }

// parseSegments returns the segments among the file names of a folder, in order of number. It
// returns a DamageError for a malformed name or a gap in the numbers.
func parseSegments(names []string) ([]segment, error) {
	var segments []segment
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		var g segment
		if _, err := fmt.Sscanf(name, segmentPrefix+"%x", &g.number); err != nil || g.name() != name {
			return nil, &DamageError{File: name, Reason: "malformed segment name"}
		}
		segments = append(segments, g)
	}
	slices.SortFunc(segments, func(a, b segment) int { return strings.Compare(a.name(), b.name()) })
	for i := 1; i < len(segments); i++ {
		if segments[i].number != segments[i-1].number+1 {
			return nil, &DamageError{File: segments[i].name(), Reason: "the preceding segment is missing"}
		}
	}
	return segments, nil
}

// recordIndexes updates the indexes of segments, of which the last contains r. Entries that r replaces do not keep a segment.
func recordIndexes(segments []segment, r *masticproto.StoreRecord) {
	if r.GetReset_() != nil {
		limitIndexes(segments, r.GetReset_().GetIndex())
	}
	for _, e := range r.GetEntries() {
		limitIndexes(segments, e.GetIndex()-1)
		segments[len(segments)-1].maxIndex = e.GetIndex()
	}
}

// limitIndexes records that the entries after index were replaced.
func limitIndexes(segments []segment, index uint64) {
	for i := range segments {
		segments[i].maxIndex = min(segments[i].maxIndex, index)
	}
}

// beginSegment starts a segment. Its header repeats the hard state and a pending log reset, so
// that the earlier segments can be removed. The identity is written last, so that the segment
// it names is always complete.
func (s *Store) beginSegment() error {
	next := segment{number: 1}
	if n := len(s.segments); n > 0 {
		next.number = s.segments[n-1].number + 1
	}
	file, err := s.files.Create(next.name())
	if err != nil {
		return err
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file = file
	s.size = 0
	s.segments = append(s.segments, next)
	header := &masticproto.StoreRecord{
		Header: &masticproto.SegmentHeader{Number: next.number, Storage: s.storage},
		Hard:   s.hardState,
		Reset_: s.pendingReset,
	}
	if err := s.write(header); err != nil {
		return err
	}
	s.pendingReset = nil
	if err := s.file.Sync(); err != nil {
		return err
	}
	if err := s.files.Sync(); err != nil {
		return err
	}
	return s.saveIdentity()
}

// removeCoveredSegments removes the oldest segments as long as a snapshot at index covers all of
// their entries. Each removal is made durable before the next, so that a crash leaves no gap.
func (s *Store) removeCoveredSegments(index uint64) error {
	for len(s.segments) > 1 && s.segments[0].maxIndex <= index {
		if err := s.files.Remove(s.segments[0].name()); err != nil {
			return err
		}
		if err := s.files.Sync(); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}
