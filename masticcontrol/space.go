package masticcontrol

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticstore"
)

// DefaultDiskBytes is the assumed size of the disk of a control host.
const DefaultDiskBytes = 1 << 30

// The parts of a disk. Up to 5/8 are for the log, so that two snapshots of 1/8 each fit beside it while one replaces the other;
// the last eighth is a reserve for other files.
const (
	// maxDocumentShare is the part of the disk that the command with a document or a published change may fill.
	maxDocumentShare = 1.0 / 16
	// maxStateShare is the part of the disk that a snapshot may fill before operators' changes are refused.
	maxStateShare = 1.0 / 8
	// compactionShare is the part of the disk that the log may fill before it is compacted.
	compactionShare = 1.0 / 8
	// operatorLogShare, commandLogShare and reservedLogShare are the parts that the log may fill: beyond the first, operators' changes
	// are refused, beyond the second all other commands and the entries of other hosts. Between the second and the
	// third there is room for the small entries without which no leader can be elected and nothing is committed.
	operatorLogShare = 3.0 / 8
	commandLogShare  = 4.0 / 8
	reservedLogShare = 5.0 / 8
)

const (
	// minCompactionBytes bounds how often small logs are compacted. The entries since the last snapshot are also kept in memory.
	minCompactionBytes = 4 << 20
	// compactionStateFactor: a log is compacted once it is so many times as large as the state, so that storing snapshots
	// costs less than storing the log.
	compactionStateFactor = 2
	// compactionInterval is the minimum time between compactions that the size of the log triggers, compactionRetryDelay the
	// time until a failed one is repeated.
	compactionInterval   = 500 * time.Millisecond
	compactionRetryDelay = time.Second
	// smallEntryBytes is the size up to which changes are not taken for those of operators, and entries of other hosts may use the
	// reserve.
	smallEntryBytes = 64 << 10
	// spaceLogInterval is the minimum time between two log lines on refused commands.
	spaceLogInterval = time.Second
)

// space bounds the files of a control host by the size of its disk.
type space struct {
	// diskBytes is the size of the disk that the data folder may fill.
	diskBytes int64
	// nextCompaction is the earliest time of the next compaction.
	nextCompaction time.Time
	nextLog        time.Time
	// unstored is the snapshot that did not fit on the disk and replaces the stored one once there is room, nil if there is none.
	unstored *masticproto.Snapshot
}

func (s *space) share(fraction float64) int64 { return int64(fraction * float64(s.diskBytes)) }

// compactionBytes returns the size of the log at which it is compacted.
func (s *space) compactionBytes(stateBytes int64) int64 {
	return min(max(minCompactionBytes, compactionStateFactor*stateBytes), s.share(compactionShare))
}

// maxUncommittedBytes returns how many bytes of entries may be proposed and not yet committed.
func (s *space) maxUncommittedBytes() int { return int(s.share(maxStateShare)) }

// admit returns an error if a command of n bytes may not be added to the log.
func (s *space) admit(command *masticproto.Command, n, logBytes, stateBytes int64) error {
	if !isOperatorChange(command, n) {
		if logBytes+n > s.share(commandLogShare) {
			return masticerror.New(masticerror.KindStorageFull, "the log has %d bytes on a disk of %d", logBytes, s.diskBytes)
		}
		return nil
	}
	switch {
	case n > s.share(maxDocumentShare):
		return masticerror.New(masticerror.KindBodyTooLarge, "a change of %d bytes is over the limit of %d on a disk of %d", n, s.share(maxDocumentShare), s.diskBytes)
	case stateBytes > s.share(maxStateShare) && n > smallEntryBytes:
		// A small change may make the state smaller.
		return masticerror.New(masticerror.KindStorageFull, "the state has %d bytes on a disk of %d", stateBytes, s.diskBytes)
	case logBytes+n > s.share(operatorLogShare):
		return masticerror.New(masticerror.KindStorageFull, "the log has %d bytes on a disk of %d", logBytes, s.diskBytes)
	}
	return nil
}

// isOperatorChange reports whether a command of n bytes carries content of an operator, which has no other bound. Hosts publish
// their own entries with small commands.
func isOperatorChange(c *masticproto.Command, n int64) bool {
	return c.GetDocument() != nil || c.GetPublish() != nil && n > smallEntryBytes
}

// accepts reports whether entries of another host of n bytes may be added to the log.
func (s *space) accepts(n, logBytes int64) bool {
	if n <= smallEntryBytes {
		return logBytes+n <= s.share(reservedLogShare)
	}
	return logBytes+n <= s.share(commandLogShare)
}

// admit returns an error if a command of n bytes may not be added to the log, and logs it.
func (l *loop) admit(now time.Time, command *masticproto.Command, n int) error {
	err := l.space.admit(command, int64(n), l.store.LogBytes(), l.stateBytes)
	if err == nil {
		return nil
	}
	l.counters.StorageRefused.Add(1)
	if !now.Before(l.space.nextLog) {
		l.space.nextLog = now.Add(spaceLogInterval)
		l.log.WithError(err).WithField("bytes", n).WithField("stateBytes", l.stateBytes).Warn("command refused: no room on the disk")
	}
	return err
}

// limitEntries removes the entries of an append for which the disk has no room. The rest of the message is handled, because the
// commit index in it allows the log to be compacted; the leader sends the entries again.
func (l *loop) limitEntries(now time.Time, m *masticproto.QuorumMessage) {
	n := int64(0)
	for _, e := range m.GetEntries() {
		n += int64(len(e.GetData()))
	}
	if n == 0 || l.space.accepts(n, l.store.LogBytes()) {
		return
	}
	m.Entries = nil
	l.counters.StorageRefused.Add(1)
	if !now.Before(l.space.nextLog) {
		l.space.nextLog = now.Add(spaceLogInterval)
		l.log.WithField("bytes", n).WithField("logBytes", l.store.LogBytes()).Warn("entries of the leader refused: no room on the disk")
	}
}

// compactionDue reports whether the log has to be compacted: by its number of entries or by its size.
func (l *loop) compactionDue(now time.Time) bool {
	if l.compactor.busy || l.status.Applied == l.status.SnapshotIndex || now.Before(l.space.nextCompaction) {
		return false
	}
	return l.status.Applied >= l.status.SnapshotIndex+l.snapshotEntries || l.store.LogBytes() >= l.space.compactionBytes(l.stateBytes)
}

// storeSnapshot stores a snapshot of the state and removes what it covers. On a full disk the log is kept, and the snapshot is stored
// later.
func (l *loop) storeSnapshot(now time.Time, snapshot *masticproto.Snapshot) error {
	before := l.store.LogBytes()
	l.space.nextCompaction = now.Add(compactionInterval)
	l.space.unstored = nil
	err := l.store.Compact(snapshot)
	l.recordSpace()
	if err == nil {
		l.log.WithField("index", snapshot.GetIndex()).WithField("bytes", len(snapshot.GetData())).WithField("logBytesBefore", before).
			WithField("logBytes", l.store.LogBytes()).Info("log compacted")
		return nil
	}
	if l.store.Failed() || !masticstore.IsNoSpace(err) {
		return err
	}
	l.space.unstored = snapshot
	l.space.nextCompaction = now.Add(compactionRetryDelay)
	l.counters.SnapshotFailures.Add(1)
	l.log.WithError(err).WithField("logBytes", l.store.LogBytes()).Error("snapshot not stored: the disk is full")
	return nil
}

// storeUnstored stores the snapshot that did not fit, unless a later one is due.
func (l *loop) storeUnstored(now time.Time) error {
	if l.space.unstored == nil || l.compactor.busy || now.Before(l.space.nextCompaction) || l.compactionDue(now) {
		return nil
	}
	return l.storeSnapshot(now, l.space.unstored)
}

// recordSpace updates the gauges of the files' sizes.
func (l *loop) recordSpace() {
	l.counters.LogBytes.Store(l.store.LogBytes())
	l.counters.SnapshotBytes.Store(l.store.SnapshotBytes())
}

// recordFailure logs an error of the store that ends control. A full disk is logged once, until there is room.
func (s *settings) recordFailure(err error) {
	switch {
	case !masticstore.IsNoSpace(err):
		s.log.WithError(err).Error("the store failed; control stops")
	case s.counters.StorageFull.CompareAndSwap(0, 1):
		s.log.WithError(err).Error("the disk is full: control stops until there is room")
	}
}

// recordWrite logs the first write after the disk was full.
func (s *settings) recordWrite() {
	if s.counters.StorageFull.CompareAndSwap(1, 0) {
		s.log.Info("the disk has room again")
	}
}
