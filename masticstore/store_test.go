package masticstore

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
)

func entry(index, term uint64) *masticproto.Entry {
	return &masticproto.Entry{Index: index, Term: term, Data: []byte("data")}
}

func TestOSFolder(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	s, loaded, err := Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(loaded.Fresh, qt.IsTrue)
	_, _, err = Open(folder)
	c.Assert(err, qt.ErrorMatches, ".*in use.*")
	c.Assert(s.Save(&masticproto.HardState{Term: 1, Vote: "a"}, []*masticproto.Entry{entry(1, 1), entry(2, 1)}, nil), qt.IsNil)
	c.Assert(s.Save(nil, []*masticproto.Entry{entry(2, 2), entry(3, 2)}, nil), qt.IsNil)
	c.Assert(s.Save(nil, nil, &masticproto.Snapshot{Index: 2, Term: 2, Data: []byte("state")}), qt.IsNil)
	c.Assert(s.Save(nil, []*masticproto.Entry{entry(4, 2)}, nil), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)

	s, again, err := Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Storage, qt.Equals, loaded.Storage)
	c.Assert(again.Hard.GetTerm(), qt.Equals, uint64(1))
	c.Assert(again.Snapshot.GetIndex(), qt.Equals, uint64(2))
	c.Assert(again.Entries[len(again.Entries)-1].GetIndex(), qt.Equals, uint64(4))
	c.Assert(s.Close(), qt.IsNil)

	c.Assert(Renew(folder), qt.IsNil)
	s, renewed, err := Open(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(renewed.Fresh, qt.IsTrue)
	c.Assert(renewed.Storage, qt.Not(qt.Equals), loaded.Storage)
	c.Assert(s.Close(), qt.IsNil)
}
