package masticquorum

import (
	"slices"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// entryOverheadBytes is the assumed size of an entry without its data.
const entryOverheadBytes = 32

// entryLog holds the entries after index base. Entries up to index stable are durable.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []*masticproto.Entry
	stable   uint64
}

// newEntryLog builds the log from the stored snapshot and the stored entries. It returns an
// error if the entries have a gap, do not reach the snapshot or differ from it in the term.
func newEntryLog(snapshot *masticproto.Snapshot, entries []*masticproto.Entry) (*entryLog, error) {
	l := &entryLog{base: snapshot.GetIndex(), baseTerm: snapshot.GetTerm()}
	if len(entries) > 0 && entries[0].GetIndex() <= l.base {
		l.base = entries[0].GetIndex()
		l.baseTerm = entries[0].GetTerm()
		entries = entries[1:]
	}
	for _, e := range entries {
		if e.GetIndex() != l.lastIndex()+1 {
			return nil, masticerror.New(masticerror.KindInternal,
				"load log: stored entry %d does not follow entry %d", e.GetIndex(), l.lastIndex())
		}
		l.entries = append(l.entries, e)
	}
	if t, ok := l.term(snapshot.GetIndex()); !ok || t != snapshot.GetTerm() {
		return nil, masticerror.New(masticerror.KindInternal,
			"load log: stored entries do not reach or match the snapshot at index %d", snapshot.GetIndex())
	}
	l.stable = l.lastIndex()
	return l, nil
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, and false if the index is not in the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base-1].GetTerm(), true
}

// matches reports whether the entry at index has the given term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log whose last entry has the given index and term is at least as
// up-to-date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// between returns a copy of the entries with low < index <= high.
func (l *entryLog) between(low, high uint64) []*masticproto.Entry {
	if high <= low {
		return nil
	}
	return slices.Clone(l.entries[low-l.base : high-l.base])
}

// batch returns entries from index on, up to a total of maxBytes. If entries exist it returns
// at least one, even if that is larger.
func (l *entryLog) batch(index uint64, maxBytes int) []*masticproto.Entry {
	size := 0
	high := index - 1
	for high < l.lastIndex() {
		size += entryBytes(l.entries[high-l.base])
		if size > maxBytes && high >= index {
			break
		}
		high++
	}
	return l.between(index-1, high)
}

func (l *entryLog) append(e *masticproto.Entry) { l.entries = append(l.entries, e) }

// truncate removes the entry at index and all after it.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.base-1])
	l.stable = min(l.stable, index-1)
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	t, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
	l.baseTerm = t
}

// retainedFrom returns the index up to which the log may be compacted, if of the entries up to index the latest are retained: at
// most maxEntries, with at most maxBytes together.
func (l *entryLog) retainedFrom(index, maxEntries uint64, maxBytes int) uint64 {
	from, size := index, 0
	for from > l.base && index-from < maxEntries {
		size += entryBytes(l.entries[from-l.base-1])
		if size > maxBytes {
			break
		}
		from--
	}
	return from
}

// reset replaces the log by an empty one that starts after the snapshot at index.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index}
}

// setStable records that the log is durable up to index. It has no effect if the entry there
// was replaced by one of another term in the meantime.
func (l *entryLog) setStable(index, term uint64) {
	if l.matches(index, term) {
		l.stable = max(l.stable, index)
	}
}

func entryBytes(e *masticproto.Entry) int { return len(e.GetData()) + entryOverheadBytes }
