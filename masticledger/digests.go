package masticledger

import (
	"maps"
	"slices"
)

const (
	// minRecentDigests is the number of recent digests that are collected before any merge.
	minRecentDigests = 1024
	// recentDigestsDivisor: recent digests beyond minRecentDigests may reach 1/8 of the
	// sorted ones before they are merged.
	recentDigestsDivisor = 8
)

// digestSet is an append-only set of 8-byte digests. Recent digests are collected in a map
// and merged into a sorted slice in batches. It takes about 12 bytes per digest.
type digestSet struct {
	sorted []uint64
	recent map[uint64]struct{}
}

func (s *digestSet) contains(d uint64) bool {
	if _, ok := s.recent[d]; ok {
		return true
	}
	_, ok := slices.BinarySearch(s.sorted, d)
	return ok
}

func (s *digestSet) add(d uint64) {
	if s.contains(d) {
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

func (s *digestSet) count() int { return len(s.sorted) + len(s.recent) }

// all returns the digests in ascending order.
func (s *digestSet) all() []uint64 {
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
