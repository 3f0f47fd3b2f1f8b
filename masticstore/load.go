package masticstore

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

// load reads the folder and initializes it if it is empty.
func (s *Store) load() (Loaded, error) {
	names, err := s.files.List()
	if err != nil {
		return Loaded{}, err
	}
	if err := s.removeAll(temporaryFiles(names)); err != nil {
		return Loaded{}, err
	}
	if s.segments, err = parseSegments(names); err != nil {
		return Loaded{}, err
	}
	if !slices.Contains(names, identityFile) {
		return s.initialize(names)
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
	return Loaded{Storage: s.storage, HardState: r.hardState, Entries: r.entries, Snapshot: snapshot}, nil
}

// initialize creates the first segment and the identity of a new folder.
func (s *Store) initialize(names []string) (Loaded, error) {
	if err := s.checkUninitialized(names); err != nil {
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

// maxFirstHeaderBytes is the maximum size of the header record of the first segment.
const maxFirstHeaderBytes = 128

// checkUninitialized returns a DamageError if a folder without an identity contains more than a
// crash in initialize leaves behind: the first segment with at most a header.
func (s *Store) checkUninitialized(names []string) error {
	missing := &DamageError{File: identityFile, Reason: "missing although a log or a snapshot exists"}
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
	return &identity, decodeSingleRecord(position{file: identityFile}, b, &identity)
}

// saveIdentity stores the storage incarnation and the number of the last segment.
func (s *Store) saveIdentity() error {
	b, err := encodeRecord(position{file: identityFile}, &masticproto.StoreIdentity{
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
	s.snapshotBytes = int64(len(b))
	var snapshot masticproto.Snapshot
	if err := decodeSingleRecord(position{storage: s.storage, file: snapshotFile}, b, &snapshot); err != nil {
		return nil, err
	}
	return &snapshot, nil
}

// decodeSingleRecord decodes a file that consists of one record.
func decodeSingleRecord(p position, content []byte, m proto.Message) error {
	message, ok := decodeRecord(p, content)
	if !ok || len(message)+recordHeaderBytes != len(content) {
		return &DamageError{File: p.file, Reason: "checksum or length mismatch"}
	}
	if err := proto.Unmarshal(message, m); err != nil {
		return &DamageError{File: p.file, Reason: err.Error()}
	}
	return nil
}

// loadLog replays the segments, truncates a torn tail and opens the last segment for appending.
// identitySegment is the segment number in the identity, which names a complete segment.
func (s *Store) loadLog(snapshot *masticproto.Snapshot, identitySegment uint64) (*replay, error) {
	r := &replay{storage: s.storage}
	if n := len(s.segments); n == 0 || s.segments[n-1].number < identitySegment {
		return nil, &DamageError{File: segment{number: identitySegment}.name(), Reason: "missing"}
	}
	if err := s.replaySegments(r, identitySegment); err != nil {
		return nil, err
	}
	needsReset, err := r.reconcile(snapshot)
	if err != nil {
		return nil, &DamageError{File: s.segments[0].name(), Reason: err.Error()}
	}
	if needsReset {
		s.pendingReset = &masticproto.LogReset{Index: snapshot.GetIndex(), Term: snapshot.GetTerm()}
	}
	s.hardState = r.hardState
	s.termIndex = newTermIndex(snapshot.GetIndex(), r.entries)
	if !needsReset {
		// A full disk may have stopped Compact between storing the snapshot and removing what it covers.
		if err := s.removeCoveredSegments(snapshot.GetIndex()); err != nil {
			return nil, err
		}
	}
	last := s.segments[len(s.segments)-1]
	if s.file, err = s.files.Append(last.name(), s.size); err != nil {
		return nil, err
	}
	return r, eris.Wrap(s.file.Sync(), "sync the log")
}

// replaySegments replays all segments. It removes the last segment if its header was never
// written completely: such a segment holds no entries, and its number is above identitySegment.
func (s *Store) replaySegments(r *replay, identitySegment uint64) error {
	for i := range s.segments {
		size, complete, err := s.replaySegment(r, s.segments[:i+1])
		if err != nil {
			return err
		}
		last := i == len(s.segments)-1
		earlierDamaged := !last && !complete
		headerDamaged := size == 0 && s.segments[i].number <= identitySegment
		if earlierDamaged || headerDamaged {
			return &DamageError{File: s.segments[i].name(), Offset: size, Reason: "unreadable record in data that was synced"}
		}
		if size == 0 {
			return s.removeLastSegment()
		}
		s.size, s.segments[i].bytes = size, size
	}
	return nil
}

// removeLastSegment removes the last segment, so that the one before it becomes the last.
func (s *Store) removeLastSegment() error {
	n := len(s.segments) - 1
	if err := s.files.Remove(s.segments[n].name()); err != nil {
		return err
	}
	s.segments = s.segments[:n]
	return s.files.Sync()
}

// replaySegment replays the last of segments. It returns the size of the readable part in bytes and whether it is the whole file.
func (s *Store) replaySegment(r *replay, segments []segment) (int64, bool, error) {
	g := segments[len(segments)-1]
	content, err := s.files.Read(g.name())
	if err != nil {
		return 0, false, err
	}
	isHeader := true
	size, err := scan(s.storage, g.name(), content, func(message []byte) error {
		record, err := r.applyRecord(message, g.number, isHeader)
		isHeader = false
		recordIndexes(segments, record)
		return err
	})
	return size, size == int64(len(content)), err
}

// removeAll removes the files except the lock file, in the given order.
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

// temporaryFiles returns the names of files that an interrupted Replace left behind.
func temporaryFiles(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return !strings.HasPrefix(name, ".")
	})
}

// without returns a copy of names without name.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
