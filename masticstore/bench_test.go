package masticstore

import (
	"testing"
	"time"

	"masticladder/masticproto"
)

const groupEntries = 64

// BenchmarkGroupCommit saves entries of 200 bytes in groups of groupEntries and one by one, and reports the
// ratio of the commit rates.
func BenchmarkGroupCommit(b *testing.B) {
	s, _, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	var index uint64
	var grouped, single time.Duration
	for b.Loop() {
		grouped += saveEntries(b, s, &index, groupEntries)
		single += saveEntries(b, s, &index, 1)
	}
	commits := float64(b.N * groupEntries)
	b.ReportMetric(commits/grouped.Seconds(), "grouped-commits/s")
	b.ReportMetric(commits/single.Seconds(), "single-commits/s")
	b.ReportMetric(single.Seconds()/grouped.Seconds(), "ratio")
}

// saveEntries saves groupEntries entries in calls of n entries each and returns the time taken.
func saveEntries(b *testing.B, s *Store, index *uint64, n int) time.Duration {
	start := time.Now()
	for range groupEntries / n {
		var entries []*masticproto.Entry
		for range n {
			*index++
			entries = append(entries, &masticproto.Entry{Index: *index, Term: 1, Data: make([]byte, 200)})
		}
		if err := s.Save(nil, entries, nil); err != nil {
			b.Fatal(err)
		}
	}
	return time.Since(start)
}
