package masticledger

import (
	"maps"
	"slices"
)

const (
	// minRecentDigests is the least number of recent digests that are merged into the sorted ones.
	minRecentDigests = 1024
	// recentDigestsDivisor is the part of the sorted digests that recent ones may reach.
	recentDigestsDivisor = 8
)

// digests is a growing set of 8-byte digests: sorted ones, and the recent ones that are
// merged into them now and then. It takes about 12 bytes for each.
type digests struct {
	sorted []uint64
	recent map[uint64]struct{}
}

func (s *digests) has(d uint64) bool {
	if _, ok := s.recent[d]; ok {
		return true
	}
	_, ok := slices.BinarySearch(s.sorted, d)
	return ok
}

func (s *digests) add(d uint64) {
	if s.has(d) {
		return
	}
	if s.recent == nil {
		s.recent = make(map[uint64]struct{})
	}
	s.recent[d] = struct{}{}
	if len(s.recent) > minRecentDigests+len(s.sorted)/recentDigestsDivisor {
		s.sorted, s.recent = s.all(), nil
	}
}

func (s *digests) count() int { return len(s.sorted) + len(s.recent) }

// all returns the digests in their order.
func (s *digests) all() []uint64 {
	recent := slices.Sorted(maps.Keys(s.recent))
	out := make([]uint64, 0, s.count())
	for _, d := range s.sorted {
		for len(recent) > 0 && recent[0] < d {
			out = append(out, recent[0])
			recent = recent[1:]
		}
		out = append(out, d)
	}
	return append(out, recent...)
}
