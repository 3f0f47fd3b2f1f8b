package masticstore

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
)

// filled returns a folder of some segments, the state after each record of the last one
// and the offsets of these records.
func filled(c *qt.C) (files *fakeFiles, last string, states []state, offsets []int) {
	files = newFakeFiles()
	s, _, err := openFake(files)
	c.Assert(err, qt.IsNil)
	var now state
	for i := uint64(1); len(s.segments) < 3 || len(states) < 2; i++ {
		v := saved{hard: &masticproto.HardState{Term: i}, entries: []*masticproto.Entry{entry(2*i-1, i), entry(2*i, i)}}
		states = append(states, now)
		offsets = append(offsets, int(s.size))
		now = now.with(v)
		c.Assert(s.Save(v.hard, v.entries, nil), qt.IsNil)
		if last != s.segments[len(s.segments)-1].name() {
			last = s.segments[len(s.segments)-1].name()
			states = states[len(states)-1:]
			offsets = []int{int(s.size) - recordLength(files, last)}
		}
	}
	return files.clone(), last, append(states, now), append(offsets, int(s.size))
}

// recordLength returns the length of the last record of a file.
func recordLength(files *fakeFiles, name string) int {
	length := 0
	_, _ = scan("s", name, files.names[name].content, func(m []byte) error {
		length = len(m) + recordHeaderBytes
		return nil
	})
	return length
}

func TestTornTailAtEveryByte(t *testing.T) {
	c := qt.New(t)
	files, last, states, offsets := filled(c)
	whole := files.names[last].content
	for size := offsets[0]; size <= len(whole); size++ {
		records := len(offsets) - 1
		for offsets[records] > size {
			records--
		}
		zeros := append(slices.Clone(whole[:size]), make([]byte, 30)...)
		for _, content := range [][]byte{whole[:size], zeros} {
			torn := files.clone()
			torn.put(last, content)
			_, loaded, err := openFake(torn)
			c.Assert(err, qt.IsNil)
			c.Assert(stateOf(loaded).String(), qt.Equals, states[records].String())
			c.Assert(len(torn.names[last].content), qt.Equals, offsets[records])
		}
	}
}

func TestTornHeaderOfLastSegment(t *testing.T) {
	c := qt.New(t)
	files, last, states, offsets := filled(c)
	for size := range offsets[0] {
		torn := files.clone()
		torn.put(last, files.names[last].content[:size])
		_, _, err := openFake(torn.clone())
		c.Assert(err, qt.ErrorMatches, ".*"+last+" at byte 0.*synced")

		older, err := encodeRecord(place{file: identityFile}, &masticproto.StoreIdentity{Storage: "s", Segment: 2})
		c.Assert(err, qt.IsNil)
		torn.put(identityFile, older)
		_, loaded, err := openFake(torn)
		c.Assert(err, qt.IsNil)
		c.Assert(stateOf(loaded).String(), qt.Equals, states[0].String())
	}
}

func TestDamageInTheMiddleNamesFileAndOffset(t *testing.T) {
	c := qt.New(t)
	files, last, _, offsets := filled(c)
	for name, file := range files.names {
		if name == lockFile {
			continue
		}
		for i := range file.content {
			if name == last && i >= offsets[len(offsets)-2] {
				break
			}
			bad := files.clone()
			bad.names[name].content[i] ^= 0x10
			_, _, err := openFake(bad)
			var damage *DamageError
			c.Assert(errors.As(err, &damage), qt.IsTrue, qt.Commentf("%s byte %d: %v", name, i, err))
			c.Assert(damage.File, qt.Equals, name)
			c.Assert(damage.Offset <= int64(i), qt.IsTrue)
		}
	}
}

func TestMissingFiles(t *testing.T) {
	c := qt.New(t)
	files, _, _, _ := filled(c)
	names, _ := files.List()
	for _, name := range names {
		lost := files.clone()
		delete(lost.names, name)
		_, _, err := openFake(lost)
		var damage *DamageError
		c.Assert(errors.As(err, &damage), qt.IsTrue, qt.Commentf("%s: %v", name, err))
		c.Assert(Renew("", WithFileSystem(lost)), qt.IsNil)
		_, loaded, err := openFake(lost)
		c.Assert(err, qt.IsNil)
		c.Assert(loaded.Fresh, qt.IsTrue)
	}
}

// A record within a caller's data is not taken for one.
func TestEmbeddedRecordIsNotDamage(t *testing.T) {
	c := qt.New(t)
	files := newFakeFiles()
	s, _, err := openFake(files)
	c.Assert(err, qt.IsNil)
	name := s.segments[0].name()
	inner, err := encodeRecord(place{storage: "s", file: name, offset: s.size}, &masticproto.StoreRecord{})
	c.Assert(err, qt.IsNil)
	c.Assert(s.Save(nil, []*masticproto.Entry{{Index: 1, Data: append(inner, "behind"...)}}, nil), qt.IsNil)
	file := files.names[name]
	file.content = file.content[:len(file.content)-1]
	_, loaded, err := openFake(files.clone())
	c.Assert(err, qt.IsNil)
	c.Assert(loaded.Entries, qt.HasLen, 0)
}

func FuzzScan(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		r := &replay{storage: "s"}
		first := true
		read := func(message []byte) error {
			err := r.record(message, 1, first)
			first = false
			return err
		}
		size, err := scan("s", "log-0000000000000001", content, read)
		if size > int64(len(content)) {
			t.Fatalf("read %d of %d bytes", size, len(content))
		}
		if err != nil {
			return
		}
		again, err := scan("s", "log-0000000000000001", content[:size], func([]byte) error { return nil })
		if err != nil || again != size {
			t.Fatal(fmt.Sprint("the readable part reads otherwise: ", again, size, err))
		}
	})
}
