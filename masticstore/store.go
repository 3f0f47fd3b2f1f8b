// Package masticstore keeps the durable state of a consensus core in one folder:
// an identity, a log of segments and the latest snapshot.
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

// WithFileSystem sets the access to files, in place of the operating system's.
func WithFileSystem(files FileSystem) Option { return func(s *settings) { s.files = files } }

// WithSegmentBytes sets the size from which on a new segment is begun.
func WithSegmentBytes(n int64) Option { return func(s *settings) { s.segmentBytes = n } }

// WithNewStorage sets the source of storage incarnations, which must never repeat.
func WithNewStorage(f func() string) Option { return func(s *settings) { s.newStorage = f } }

// Loaded is what a folder holds when it is opened.
type Loaded struct {
	// Storage is the incarnation of the folder. A folder that was lost gets another one.
	Storage string
	// Fresh reports that the folder was empty.
	Fresh    bool
	Hard     *masticproto.HardState
	Entries  []*masticproto.Entry
	Snapshot *masticproto.Snapshot
}

// Store keeps the state of one core. It is not safe for concurrent use.
type Store struct {
	settings
	lock     io.Closer
	storage  string
	segments []segment
	file     File
	size     int64
	hard     *masticproto.HardState
	index    termIndex
	// needsReset holds after a snapshot took the place of the log until a record says so.
	needsReset *masticproto.LogReset
	failed     error
}

// Open takes the folder for this process and returns what it holds. It fails with a
// *DamageError where that cannot be trusted.
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

// Renew empties a folder whose data is damaged. The next Open gives it another storage
// incarnation, under which the host has to rejoin as a learner.
func Renew(folder string, options ...Option) error {
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

// removeIdentity goes before the rest, so that a partly emptied folder is not taken for a whole one.
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

// Save makes its arguments durable before it returns, with one sync unless a segment
// begins or a snapshot is given. Each may be nil. An entry replaces a stored one of the
// same index and all after it. A snapshot whose last entry is not in the log replaces the
// log. After an error the Store refuses all further calls; Open tells what is stored.
func (s *Store) Save(hard *masticproto.HardState, entries []*masticproto.Entry, snapshot *masticproto.Snapshot) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.save(hard, entries, snapshot); err != nil {
		s.failed = eris.Wrap(err, "the store failed")
		return s.failed
	}
	return nil
}

func (s *Store) save(hard *masticproto.HardState, entries []*masticproto.Entry, snapshot *masticproto.Snapshot) error {
	if snapshot != nil {
		if err := s.saveSnapshot(snapshot); err != nil {
			return err
		}
	}
	if err := s.index.add(entries); err != nil {
		return err
	}
	if hard == nil && len(entries) == 0 && s.needsReset == nil {
		return nil
	}
	if s.size >= s.segmentBytes {
		if err := s.beginSegment(); err != nil {
			return err
		}
	}
	if hard != nil {
		s.hard = hard
	}
	r := &masticproto.StoreRecord{Hard: hard, Reset_: s.needsReset, Entries: entries}
	if err := s.write(r); err != nil {
		return err
	}
	s.needsReset = nil
	return eris.Wrap(s.file.Sync(), "sync the log")
}

// saveSnapshot replaces the snapshot and removes the segments that it covers.
func (s *Store) saveSnapshot(snapshot *masticproto.Snapshot) error {
	b, err := encodeRecord(place{storage: s.storage, file: snapshotFile}, snapshot)
	if err != nil {
		return err
	}
	if err := s.files.Replace(snapshotFile, b); err != nil {
		return err
	}
	if !s.index.keep(snapshot.GetIndex(), snapshot.GetTerm()) {
		s.needsReset = &masticproto.LogReset{Index: snapshot.GetIndex(), Term: snapshot.GetTerm()}
	}
	if err := s.beginSegment(); err != nil {
		return err
	}
	return s.removeCovered(snapshot.GetIndex())
}

// write appends a record to the present segment without a sync.
func (s *Store) write(r *masticproto.StoreRecord) error {
	current := &s.segments[len(s.segments)-1]
	b, err := encodeRecord(place{storage: s.storage, file: current.name(), offset: s.size}, r)
	if err != nil {
		return err
	}
	if _, err := s.file.Write(b); err != nil {
		return eris.Wrap(err, "write the log")
	}
	s.size += int64(len(b))
	for _, e := range r.GetEntries() {
		current.maxIndex = max(current.maxIndex, e.GetIndex())
	}
	return nil
}

// Close gives the folder free.
func (s *Store) Close() error {
	s.failed = eris.New("the store is closed")
	if s.file != nil {
		_ = s.file.Close()
	}
	return eris.Wrap(s.lock.Close(), "release the lock")
}
