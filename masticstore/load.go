package masticstore

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

// load reads the folder, and gives it an identity if it is empty.
func (s *Store) load() (Loaded, error) {
	names, err := s.files.List()
	if err != nil {
		return Loaded{}, err
	}
	if err := s.removeAll(temporary(names)); err != nil {
		return Loaded{}, err
	}
	if s.segments, err = segmentsOf(names); err != nil {
		return Loaded{}, err
	}
	if !slices.Contains(names, identityFile) {
		return s.create(names)
	}
	identity, err := s.loadIdentity()
	if err != nil {
		return Loaded{}, err
	}
	s.storage = identity.GetStorage()
	snapshot, err := s.loadSnapshot(names)
	if err != nil {
		return Loaded{}, err
	}
	r, err := s.loadLog(snapshot, identity.GetSegment())
	if err != nil {
		return Loaded{}, err
	}
	return Loaded{Storage: s.storage, Hard: r.hard, Entries: r.entries, Snapshot: snapshot}, nil
}

// create makes the first segment and the identity.
func (s *Store) create(names []string) (Loaded, error) {
	if err := s.checkUnused(names); err != nil {
		return Loaded{}, err
	}
	for _, g := range s.segments {
		if err := s.files.Remove(g.name()); err != nil {
			return Loaded{}, err
		}
	}
	s.segments = nil
	s.storage = s.newStorage()
	if err := s.beginSegment(); err != nil {
		return Loaded{}, err
	}
	return Loaded{Storage: s.storage, Fresh: true}, nil
}

// maxFirstHeaderBytes is the most that the header of a first segment takes.
const maxFirstHeaderBytes = 128

// checkUnused allows for what a crash in create leaves: a first segment with at most a header.
func (s *Store) checkUnused(names []string) error {
	missing := &DamageError{File: identityFile, Reason: "missing beside a log or a snapshot"}
	if slices.Contains(names, snapshotFile) || len(s.segments) > 1 {
		return missing
	}
	if len(s.segments) == 0 {
		return nil
	}
	content, err := s.files.Read(s.segments[0].name())
	if err != nil {
		return err
	}
	if s.segments[0].number != 1 || len(content) > maxFirstHeaderBytes {
		return missing
	}
	return nil
}

func (s *Store) loadIdentity() (*masticproto.StoreIdentity, error) {
	b, err := s.files.Read(identityFile)
	if err != nil {
		return nil, err
	}
	var identity masticproto.StoreIdentity
	return &identity, decodeWhole(place{file: identityFile}, b, &identity)
}

// saveIdentity records the storage incarnation and the present segment.
func (s *Store) saveIdentity() error {
	b, err := encodeRecord(place{file: identityFile}, &masticproto.StoreIdentity{
		Storage: s.storage,
		Segment: s.segments[len(s.segments)-1].number,
	})
	if err != nil {
		return err
	}
	return s.files.Replace(identityFile, b)
}

func (s *Store) loadSnapshot(names []string) (*masticproto.Snapshot, error) {
	if !slices.Contains(names, snapshotFile) {
		return nil, nil
	}
	b, err := s.files.Read(snapshotFile)
	if err != nil {
		return nil, err
	}
	var snapshot masticproto.Snapshot
	if err := decodeWhole(place{storage: s.storage, file: snapshotFile}, b, &snapshot); err != nil {
		return nil, err
	}
	return &snapshot, nil
}

// decodeWhole reads a file that is one record.
func decodeWhole(p place, content []byte, m proto.Message) error {
	message, ok := decodeRecord(p, content)
	if !ok || len(message)+recordHeaderBytes != len(content) {
		return &DamageError{File: p.file, Reason: "the checksum or the length differs"}
	}
	if err := proto.Unmarshal(message, m); err != nil {
		return &DamageError{File: p.file, Reason: err.Error()}
	}
	return nil
}

// loadLog replays the segments, cuts a torn tail and opens the last one for appending.
func (s *Store) loadLog(snapshot *masticproto.Snapshot, known uint64) (*replay, error) {
	r := &replay{storage: s.storage}
	if n := len(s.segments); n == 0 || s.segments[n-1].number < known {
		return nil, &DamageError{File: segment{number: known}.name(), Reason: "missing"}
	}
	if err := s.replaySegments(r, known); err != nil {
		return nil, err
	}
	dropped, err := r.join(snapshot)
	if err != nil {
		return nil, &DamageError{File: s.segments[0].name(), Reason: err.Error()}
	}
	if dropped {
		s.needsReset = &masticproto.LogReset{Index: snapshot.GetIndex(), Term: snapshot.GetTerm()}
	}
	s.hard = r.hard
	s.index = newTermIndex(snapshot.GetIndex(), r.entries)
	last := s.segments[len(s.segments)-1]
	s.file, err = s.files.Append(last.name(), s.size)
	if err != nil {
		return nil, err
	}
	return r, s.file.Sync()
}

// replaySegments replays all segments. The last one is removed if its header was never
// written whole; it has then not been used, and is later than the one known to exist.
func (s *Store) replaySegments(r *replay, known uint64) error {
	for i := range s.segments {
		size, whole, err := s.replaySegment(r, &s.segments[i])
		if err != nil {
			return err
		}
		last := i == len(s.segments)-1
		synced := !last && !whole
		used := size == 0 && s.segments[i].number <= known
		if synced || used {
			return &DamageError{File: s.segments[i].name(), Offset: size, Reason: "an unreadable record in a part that was synced"}
		}
		if size == 0 {
			return s.dropLast()
		}
		s.size = size
	}
	return nil
}

// dropLast removes the last segment and goes on with the one before it.
func (s *Store) dropLast() error {
	n := len(s.segments) - 1
	if err := s.files.Remove(s.segments[n].name()); err != nil {
		return err
	}
	s.segments = s.segments[:n]
	return s.files.Sync()
}

// replaySegment returns the size of the readable part and whether that is all of the file.
func (s *Store) replaySegment(r *replay, g *segment) (int64, bool, error) {
	content, err := s.files.Read(g.name())
	if err != nil {
		return 0, false, err
	}
	first := true
	size, err := scan(s.storage, g.name(), content, func(message []byte) error {
		err := r.record(message, g.number, first)
		first = false
		g.maxIndex = max(g.maxIndex, r.lastOrZero())
		return err
	})
	return size, size == int64(len(content)), err
}

// removeAll removes files in order.
func (s *Store) removeAll(names []string) error {
	for _, name := range names {
		if name == lockFile {
			continue
		}
		if err := s.files.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// temporary returns the names of files that an interrupted Replace left.
func temporary(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return !strings.HasPrefix(name, ".")
	})
}

// without returns names less one.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
