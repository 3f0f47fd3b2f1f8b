package masticstore

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
)

// filledFolder returns a folder of three or more segments, the name of the last segment, the
// states before and after each of its records that follow the header, and the start offsets of
// these records with the end offset of the last one.
func filledFolder(c *qt.C) (files *fakeFiles, last string, states []state, offsets []int) {
	files = newFakeFiles()
	s, _, err := openFake(files)
	c.Assert(err, qt.IsNil)
	var current state
	for i := uint64(1); len(s.segments) < 3 || len(states) < 2; i++ {
		v := saveCall{hardState: &masticproto.HardState{Term: i}, entries: []*masticproto.Entry{newEntry(2*i-1, i), newEntry(2*i, i)}}
		states = append(states, current)
		offsets = append(offsets, int(s.size))
		current = current.withSave(v)
		c.Assert(s.Save(v.hardState, v.entries, nil), qt.IsNil)
		if last != s.segments[len(s.segments)-1].name() {
			last = s.segments[len(s.segments)-1].name()
			states = states[len(states)-1:]
			offsets = []int{int(s.size) - lastRecordBytes(files, last)}
		}
	}
	return files.clone(), last, append(states, current), append(offsets, int(s.size))
}

// lastRecordBytes returns the length of the last record of a file in bytes.
func lastRecordBytes(files *fakeFiles, name string) int {
	length := 0
	_, _ = scan("s", name, files.names[name].content, func(m []byte) error {
		length = len(m) + recordHeaderBytes
		return nil
	})
	return length
}

func TestTornTailIsDropped(t *testing.T) {
	c := qt.New(t)
	files, last, states, offsets := filledFolder(c)
	complete := files.names[last].content
	for size := offsets[0]; size <= len(complete); size++ {
		records := len(offsets) - 1
		for offsets[records] > size {
			records--
		}
		zeroPadded := append(slices.Clone(complete[:size]), make([]byte, 30)...)
		for _, content := range [][]byte{complete[:size], zeroPadded} {
			torn := files.clone()
			torn.putDurable(last, content)
			_, loaded, err := openFake(torn)
			c.Assert(err, qt.IsNil)
			c.Assert(loadedState(loaded).String(), qt.Equals, states[records].String())
			c.Assert(len(torn.names[last].content), qt.Equals, offsets[records])
		}
	}
}

// A last segment with a torn header is damage if the identity names it. It is dropped if the
// identity names an earlier segment, as after a crash in beginSegment.
func TestTornHeaderOfLastSegment(t *testing.T) {
	c := qt.New(t)
	files, last, states, offsets := filledFolder(c)
	for size := range offsets[0] {
		torn := files.clone()
		torn.putDurable(last, files.names[last].content[:size])
		_, _, err := openFake(torn.clone())
		c.Assert(err, qt.ErrorMatches, ".*"+last+" at byte 0.*synced")

		olderIdentity, err := encodeRecord(position{file: identityFile}, &masticproto.StoreIdentity{Storage: "s", Segment: 2})
		c.Assert(err, qt.IsNil)
		torn.putDurable(identityFile, olderIdentity)
		_, loaded, err := openFake(torn)
		c.Assert(err, qt.IsNil)
		c.Assert(loadedState(loaded).String(), qt.Equals, states[0].String())
	}
}

func TestDamageErrorNamesFileAndOffset(t *testing.T) {
	c := qt.New(t)
	files, last, _, offsets := filledFolder(c)
	for name, file := range files.names {
		if name == lockFile {
			continue
		}
		for i := range file.content {
			if name == last && i >= offsets[len(offsets)-2] {
				break
			}
			corrupted := files.clone()
			corrupted.names[name].content[i] ^= 0x10
			_, _, err := openFake(corrupted)
			var damage *DamageError
			c.Assert(errors.As(err, &damage), qt.IsTrue, qt.Commentf("%s byte %d: %v", name, i, err))
			c.Assert(damage.File, qt.Equals, name)
			c.Assert(damage.Offset <= int64(i), qt.IsTrue)
		}
	}
}

func TestMissingFileIsDamageUntilClear(t *testing.T) {
	c := qt.New(t)
	files, _, _, _ := filledFolder(c)
	names, _ := files.List()
	for _, name := range names {
		incomplete := files.clone()
		delete(incomplete.names, name)
		_, _, err := openFake(incomplete)
		var damage *DamageError
		c.Assert(errors.As(err, &damage), qt.IsTrue, qt.Commentf("%s: %v", name, err))
		c.Assert(Clear("", WithFileSystem(incomplete)), qt.IsNil)
		_, loaded, err := openFake(incomplete)
		c.Assert(err, qt.IsNil)
		c.Assert(loaded.Fresh, qt.IsTrue)
	}
}

// Bytes of a record inside a caller's data are not taken for a record, so that a torn entry with
// such data is dropped and not reported as damage.
func TestEmbeddedRecordIsNotDamage(t *testing.T) {
	c := qt.New(t)
	files := newFakeFiles()
	s, _, err := openFake(files)
	c.Assert(err, qt.IsNil)
	name := s.segments[0].name()
	embedded, err := encodeRecord(position{storage: "s", file: name, offset: s.size}, &masticproto.StoreRecord{})
	c.Assert(err, qt.IsNil)
	c.Assert(s.Save(nil, []*masticproto.Entry{{Index: 1, Data: append(embedded, "behind"...)}}, nil), qt.IsNil)
	file := files.names[name]
	file.content = file.content[:len(file.content)-1]
	_, loaded, err := openFake(files.clone())
	c.Assert(err, qt.IsNil)
	c.Assert(loaded.Entries, qt.HasLen, 0)
}

func FuzzScan(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		r := &replay{storage: "s"}
		isHeader := true
		read := func(message []byte) error {
			_, err := r.applyRecord(message, 1, isHeader)
			isHeader = false
			return err
		}
		size, err := scan("s", "log-0000000000000001", content, read)
		if size > int64(len(content)) {
			t.Fatalf("scan read %d of %d bytes", size, len(content))
		}
		if err != nil {
			return
		}
		rescanned, err := scan("s", "log-0000000000000001", content[:size], func([]byte) error { return nil })
		if err != nil || rescanned != size {
			t.Fatal(fmt.Sprint("a second scan of the readable part differs: ", rescanned, size, err))
		}
	})
}
