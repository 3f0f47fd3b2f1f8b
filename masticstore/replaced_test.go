package masticstore

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
)

// replaceEntries saves terms of n entries each, of which each term replaces all but the first of the term before, and stores a
// snapshot at the entry that is kept.
func replaceEntries(c *qt.C, s *Store, terms, n uint64) {
	for term := uint64(1); term <= terms; term++ {
		c.Assert(s.Save(nil, []*masticproto.Entry{newEntry(term, term)}, nil), qt.IsNil)
		c.Assert(s.Compact(&masticproto.Snapshot{Index: term, Term: term}), qt.IsNil)
		for i := range n {
			c.Assert(s.Save(nil, []*masticproto.Entry{newEntry(term+1+i, term)}, nil), qt.IsNil)
		}
	}
}

// TestReplacedEntriesKeepSegmentsOnTheDisk: entries that a leader proposed and never committed kept their segments until the log had
// passed their indexes, however often it was compacted.
func TestReplacedEntriesKeepSegmentsOnTheDisk(t *testing.T) {
	c := qt.New(t)
	const entries = 200
	one, _, err := openFake(newFakeFiles())
	c.Assert(err, qt.IsNil)
	replaceEntries(c, one, 1, entries)
	files := newFakeFiles()
	s, _, err := openFake(files)
	c.Assert(err, qt.IsNil)
	const terms = 12
	replaceEntries(c, s, terms, entries)
	c.Assert(s.LogBytes() < 2*one.LogBytes(), qt.IsTrue, qt.Commentf("%d bytes, %d with one term", s.LogBytes(), one.LogBytes()))
	// What is opened again is compacted as well.
	c.Assert(s.Save(nil, []*masticproto.Entry{newEntry(terms+1, terms+1)}, nil), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	s, _, err = openFake(files)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Compact(&masticproto.Snapshot{Index: terms + 1, Term: terms + 1}), qt.IsNil)
	c.Assert(s.LogBytes() < one.LogBytes()/2, qt.IsTrue, qt.Commentf("%d bytes after opening", s.LogBytes()))
}

// TestEntriesBeforeAReceivedSnapshotKeepSegmentsOnTheDisk: the same for entries that a leader's snapshot replaces.
func TestEntriesBeforeAReceivedSnapshotKeepSegmentsOnTheDisk(t *testing.T) {
	c := qt.New(t)
	files := newFakeFiles()
	s, _, err := openFake(files)
	c.Assert(err, qt.IsNil)
	for i := uint64(1); i <= 200; i++ {
		c.Assert(s.Save(nil, []*masticproto.Entry{newEntry(i, 1)}, nil), qt.IsNil)
	}
	before := s.LogBytes()
	c.Assert(s.Save(nil, nil, &masticproto.Snapshot{Index: 100, Term: 2}), qt.IsNil)
	c.Assert(s.LogBytes() < before/2, qt.IsTrue, qt.Commentf("%d bytes of %d", s.LogBytes(), before))
	c.Assert(s.Save(nil, []*masticproto.Entry{newEntry(101, 2)}, nil), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	_, loaded, err := openFake(files)
	c.Assert(err, qt.IsNil)
	c.Assert(loadedState(loaded).String(), qt.Equals, "term 0 snapshot 100/2: 101/2")
}
