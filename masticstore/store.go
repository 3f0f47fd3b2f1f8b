// Package masticstore persists the durable state of a consensus core in one folder: an identity
// file, a log that consists of segment files, and the latest snapshot.
package masticstore

import (
	"io"
	"slices"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"masticladder/masticproto"
)

const (
	lockFile            = "lock"
	identityFile        = "identity"
	snapshotFile        = "snapshot"
	defaultSegmentBytes = 8 << 20
)

type settings struct {
	files        FileSystem
	segmentBytes int64
	newStorage   func() string
}

// Option sets one property of a Store.
type Option func(*settings)

// WithFileSystem replaces the file system of the operating system.
func WithFileSystem(files FileSystem) Option { return func(s *settings) { s.files = files } }

// WithSegmentBytes sets the size in bytes at which Save begins a new segment.
func WithSegmentBytes(n int64) Option { return func(s *settings) { s.segmentBytes = n } }

// WithNewStorage sets the function that generates storage incarnations, which must be unique.
func WithNewStorage(f func() string) Option { return func(s *settings) { s.newStorage = f } }

// Loaded is the content of a folder when it is opened.
type Loaded struct {
	// Storage is the storage incarnation of the folder. A folder that was emptied or lost gets
	// a new one.
	Storage string
	// Fresh reports that the folder was empty.
	Fresh     bool
	HardState *masticproto.HardState
	Entries   []*masticproto.Entry
	Snapshot  *masticproto.Snapshot
}

// Store persists the state of one consensus core. It is not safe for concurrent use.
type Store struct {
	settings
	lock     io.Closer
	storage  string
	segments []segment
	file     File
	size     int64
	// snapshotBytes is the size of the snapshot file.
	snapshotBytes int64
	hardState     *masticproto.HardState
	termIndex     termIndex
	// pendingReset is set when a snapshot has replaced the log, until a record with it is written.
	pendingReset *masticproto.LogReset
	failure      error
}

// Open locks the folder for this process and returns its content. The error is a *DamageError
// if the content is corrupted or incomplete.
func Open(folder string, options ...Option) (*Store, Loaded, error) {
	s, err := newStore(folder, options)
	if err != nil {
		return nil, Loaded{}, err
	}
	loaded, err := s.load()
	if err != nil {
		_ = s.Close()
		return nil, Loaded{}, err
	}
	return s, loaded, nil
}

// Clear removes the files of a folder whose data is damaged. The next Open gives the folder a new
// storage incarnation, with which the host has to rejoin as a learner.
func Clear(folder string, options ...Option) error {
	s, err := newStore(folder, options)
	if err != nil {
		return err
	}
	defer s.Close()
	names, err := s.files.List()
	if err != nil {
		return err
	}
	if slices.Contains(names, identityFile) {
		if err := s.removeIdentity(); err != nil {
			return err
		}
	}
	if err := s.removeAll(without(names, identityFile)); err != nil {
		return err
	}
	return s.files.Sync()
}

// removeIdentity removes the identity durably. Clear does this first, so that a partly emptied
// folder is not taken for a complete one.
func (s *Store) removeIdentity() error {
	if err := s.files.Remove(identityFile); err != nil {
		return err
	}
	return s.files.Sync()
}

func newStore(folder string, options []Option) (*Store, error) {
	s := &Store{settings: settings{segmentBytes: defaultSegmentBytes, newStorage: uuid.NewString}}
	for _, o := range options {
		o(&s.settings)
	}
	if s.files == nil {
		files, err := newOSFiles(folder)
		if err != nil {
			return nil, err
		}
		s.files = files
	}
	lock, err := s.files.Lock(lockFile)
	if err != nil {
		return nil, err
	}
	s.lock = lock
	return s, nil
}

// Save makes its arguments durable before it returns, with one sync unless it begins a segment
// or stores a snapshot. Each argument may be nil. An entry replaces a stored one with the same
// index and all after it. A snapshot whose last entry is not in the log replaces the log. After
// an error all further calls fail, and only Open returns what is stored.
func (s *Store) Save(hardState *masticproto.HardState, entries []*masticproto.Entry, snapshot *masticproto.Snapshot) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.save(hardState, entries, snapshot); err != nil {
		s.failure = eris.Wrap(err, "the store failed")
		return s.failure
	}
	return nil
}

func (s *Store) save(hardState *masticproto.HardState, entries []*masticproto.Entry, snapshot *masticproto.Snapshot) error {
	if snapshot != nil {
		if err := s.replaceSnapshot(snapshot); err != nil {
			return err
		}
		if err := s.truncateLog(snapshot); err != nil {
			return err
		}
	}
	if err := s.termIndex.add(entries); err != nil {
		return err
	}
	if hardState == nil && len(entries) == 0 && s.pendingReset == nil {
		return nil
	}
	if s.size >= s.segmentBytes {
		if err := s.beginSegment(); err != nil {
			return err
		}
	}
	if hardState != nil {
		s.hardState = hardState
	}
	r := &masticproto.StoreRecord{Hard: hardState, Reset_: s.pendingReset, Entries: entries}
	if err := s.write(r); err != nil {
		return err
	}
	s.pendingReset = nil
	return eris.Wrap(s.file.Sync(), "sync the log")
}

// Compact stores a snapshot of the state as of an entry in the log and removes the segments that it covers. The log is kept
// whole, and further calls succeed, if the snapshot could not be stored; IsNoSpace tells whether the disk is full.
func (s *Store) Compact(snapshot *masticproto.Snapshot) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.replaceSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.truncateLog(snapshot); err != nil {
		s.failure = eris.Wrap(err, "the store failed")
		return s.failure
	}
	return nil
}

// Failed reports whether all further calls fail.
func (s *Store) Failed() bool { return s.failure != nil }

// LogBytes returns the size of the log on the disk.
func (s *Store) LogBytes() int64 {
	total := int64(0)
	for _, g := range s.segments {
		total += g.bytes
	}
	return total
}

// SnapshotBytes returns the size of the snapshot on the disk. While a snapshot is replaced there are two.
func (s *Store) SnapshotBytes() int64 { return s.snapshotBytes }

// replaceSnapshot replaces the snapshot atomically.
func (s *Store) replaceSnapshot(snapshot *masticproto.Snapshot) error {
	b, err := encodeRecord(position{storage: s.storage, file: snapshotFile}, snapshot)
	if err != nil {
		return err
	}
	if err := s.files.Replace(snapshotFile, b); err != nil {
		return err
	}
	s.snapshotBytes = int64(len(b))
	return nil
}

// truncateLog removes the segments that the stored snapshot covers. As many as possible are removed before a segment is created,
// which needs room on the disk.
func (s *Store) truncateLog(snapshot *masticproto.Snapshot) error {
	if !s.termIndex.compact(snapshot.GetIndex(), snapshot.GetTerm()) {
		s.pendingReset = &masticproto.LogReset{Index: snapshot.GetIndex(), Term: snapshot.GetTerm()}
	} else if err := s.removeCoveredSegments(snapshot.GetIndex()); err != nil {
		return err
	}
	if err := s.beginSegment(); err != nil {
		return err
	}
	return s.removeCoveredSegments(snapshot.GetIndex())
}

// write appends a record to the last segment without a sync.
func (s *Store) write(r *masticproto.StoreRecord) error {
	current := &s.segments[len(s.segments)-1]
	b, err := encodeRecord(position{storage: s.storage, file: current.name(), offset: s.size}, r)
	if err != nil {
		return err
	}
	if _, err := s.file.Write(b); err != nil {
		return eris.Wrap(err, "write the log")
	}
	s.size += int64(len(b))
	current.bytes = s.size
	recordIndexes(s.segments, r)
	return nil
}

// Close releases the lock on the folder.
func (s *Store) Close() error {
	s.failure = eris.New("the store is closed")
	if s.file != nil {
		_ = s.file.Close()
	}
	return eris.Wrap(s.lock.Close(), "release the lock")
}
