package masticstore

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
)

func newEntry(index, term uint64) *masticproto.Entry {
	return &masticproto.Entry{Index: index, Term: term, Data: []byte("data")}
}

func TestOpenSaveAndClearOnDisk(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	s, loaded, err := Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(loaded.Fresh, qt.IsTrue)
	_, _, err = Open(folder)
	c.Assert(err, qt.ErrorMatches, ".*in use.*")
	c.Assert(s.Save(&masticproto.HardState{Term: 1, Vote: "a"}, []*masticproto.Entry{newEntry(1, 1), newEntry(2, 1)}, nil), qt.IsNil)
	c.Assert(s.Save(nil, []*masticproto.Entry{newEntry(2, 2), newEntry(3, 2)}, nil), qt.IsNil)
	c.Assert(s.Save(nil, nil, &masticproto.Snapshot{Index: 2, Term: 2, Data: []byte("state")}), qt.IsNil)
	c.Assert(s.Save(nil, []*masticproto.Entry{newEntry(4, 2)}, nil), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)

	s, reopened, err := Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(reopened.Storage, qt.Equals, loaded.Storage)
	c.Assert(reopened.HardState.GetTerm(), qt.Equals, uint64(1))
	c.Assert(reopened.Snapshot.GetIndex(), qt.Equals, uint64(2))
	c.Assert(reopened.Entries[len(reopened.Entries)-1].GetIndex(), qt.Equals, uint64(4))
	c.Assert(s.Close(), qt.IsNil)

	c.Assert(Clear(folder), qt.IsNil)
	s, renewed, err := Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(renewed.Fresh, qt.IsTrue)
	c.Assert(renewed.Storage, qt.Not(qt.Equals), loaded.Storage)
	c.Assert(s.Close(), qt.IsNil)
}
