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
	// maxIndex is the highest index of an entry in the segment, replaced ones included.
	maxIndex uint64
}

func (g segment) name() string { return fmt.Sprintf("%s%016x", segmentPrefix, g.number) }

// segmentsOf returns the segments among the names of a folder, in order.
func segmentsOf(names []string) ([]segment, error) {
	var segments []segment
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		var g segment
		if _, err := fmt.Sscanf(name, segmentPrefix+"%x", &g.number); err != nil || g.name() != name {
			return nil, &DamageError{File: name, Reason: "not the name of a segment"}
		}
		segments = append(segments, g)
	}
	slices.SortFunc(segments, func(a, b segment) int { return strings.Compare(a.name(), b.name()) })
	for i := 1; i < len(segments); i++ {
		if segments[i].number != segments[i-1].number+1 {
			return nil, &DamageError{File: segments[i].name(), Reason: "the segment before it is missing"}
		}
	}
	return segments, nil
}

// beginSegment starts a segment with a header that repeats the hard state, and says whether
// the log was reset, so that the segments before it can be removed. The identity comes last,
// so that the segment that it names is whole.
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
		Hard:   s.hard,
		Reset_: s.needsReset,
	}
	if err := s.write(header); err != nil {
		return err
	}
	s.needsReset = nil
	if err := s.file.Sync(); err != nil {
		return err
	}
	if err := s.files.Sync(); err != nil {
		return err
	}
	return s.saveIdentity()
}

// removeCovered removes the oldest segments while a snapshot at index covers them. Each
// removal is made durable before the next, so that a crash leaves no gap.
func (s *Store) removeCovered(index uint64) error {
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
