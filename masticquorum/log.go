package masticquorum

import (
	"slices"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// entryOverheadBytes is the cost of an entry besides its data.
const entryOverheadBytes = 32

// entryLog holds the entries after base. An entry up to stable is durable.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []*masticproto.Entry
	stable   uint64
}

// newEntryLog joins a stored snapshot and stored entries.
func newEntryLog(snapshot *masticproto.Snapshot, entries []*masticproto.Entry) (*entryLog, error) {
	l := &entryLog{base: snapshot.GetIndex(), baseTerm: snapshot.GetTerm()}
	if len(entries) > 0 && entries[0].GetIndex() <= l.base {
		l.base = entries[0].GetIndex()
		l.baseTerm = entries[0].GetTerm()
		entries = entries[1:]
	}
	for _, e := range entries {
		if e.GetIndex() != l.last()+1 {
			return nil, masticerror.New(masticerror.KindInternal,
				"stored entry %d does not follow entry %d", e.GetIndex(), l.last())
		}
		l.entries = append(l.entries, e)
	}
	if t, ok := l.term(snapshot.GetIndex()); !ok || t != snapshot.GetTerm() {
		return nil, masticerror.New(masticerror.KindInternal,
			"stored entries do not reach or match the snapshot at %d", snapshot.GetIndex())
	}
	l.stable = l.last()
	return l, nil
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].GetTerm(), true
}

// matches reports whether the log has an entry of that index and term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with (index, term) is at least as recent.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// between returns the entries after low up to high.
func (l *entryLog) between(low, high uint64) []*masticproto.Entry {
	if high <= low {
		return nil
	}
	return slices.Clone(l.entries[low-l.base : high-l.base])
}

// batch returns the entries from index on, at least one and at most maxBytes.
func (l *entryLog) batch(index uint64, maxBytes int) []*masticproto.Entry {
	size := 0
	high := index - 1
	for high < l.last() {
		size += entryBytes(l.entries[high-l.base])
		if size > maxBytes && high >= index {
			break
		}
		high++
	}
	return l.between(index-1, high)
}

func (l *entryLog) append(e *masticproto.Entry) { l.entries = append(l.entries, e) }

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.base-1])
	l.stable = min(l.stable, index-1)
}

// compact forgets the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	t, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
	l.baseTerm = t
}

// reset empties the log after a snapshot took its place.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index}
}

// setStable records that the entry of that index and term is durable.
func (l *entryLog) setStable(index, term uint64) {
	if l.matches(index, term) {
		l.stable = max(l.stable, index)
	}
}

func entryBytes(e *masticproto.Entry) int { return len(e.GetData()) + entryOverheadBytes }
