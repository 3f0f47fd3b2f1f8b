package masticsuspect

import (
	"cmp"
	"iter"
	"math"
)

// expiryQueue orders keys by the time at which they expire, and those of one time by compare. An entry is never later than
// the expiry of its key, and may be earlier, or that of a key which is no longer kept: it is checked when it comes first. A
// record can so be extended without a search for its entry.
type expiryQueue[K any] struct {
	compare func(a, b K) int
	entries []expiryEntry[K]
}

type expiryEntry[K any] struct {
	unixMs int64
	key    K
}

func newExpiryQueue[K any](compare func(a, b K) int) *expiryQueue[K] {
	return &expiryQueue[K]{compare: compare}
}

// add adds a key that expires at unixMs. A key need only be added again if its expiry is earlier than before.
func (q *expiryQueue[K]) add(unixMs int64, key K) {
	q.entries = append(q.entries, expiryEntry[K]{unixMs, key})
	q.up(len(q.entries) - 1)
}

// minCompactedEntries is the number of entries up to which those of keys that are no longer kept are left in the queue.
const minCompactedEntries = 64

// compact replaces the entries by those of the kept keys if these are under half of them.
func (q *expiryQueue[K]) compact(kept int, expiries iter.Seq2[K, int64]) {
	if len(q.entries) <= 2*kept+minCompactedEntries {
		return
	}
	q.entries = make([]expiryEntry[K], 0, kept)
	for key, unixMs := range expiries {
		q.entries = append(q.entries, expiryEntry[K]{unixMs, key})
	}
	for i := len(q.entries)/2 - 1; i >= 0; i-- {
		q.down(i)
	}
}

// takeDue removes and returns the next key that expires at or before unixMs. The function expiry returns when a key expires,
// and false if it is no longer kept. Visited counts the entries that were checked.
func (q *expiryQueue[K]) takeDue(unixMs int64, expiry func(K) (int64, bool), visited *int) (K, bool) {
	for len(q.entries) > 0 && q.entries[0].unixMs <= unixMs {
		*visited++
		first := q.entries[0]
		current, kept := expiry(first.key)
		if kept && current > first.unixMs {
			q.entries[0].unixMs = current
			q.down(0)
			continue
		}
		last := len(q.entries) - 1
		q.entries[0] = q.entries[last]
		q.entries[last] = expiryEntry[K]{}
		q.entries = q.entries[:last]
		q.down(0)
		if kept {
			return first.key, true
		}
	}
	var none K
	return none, false
}

// takeFirst removes and returns the key that expires first.
func (q *expiryQueue[K]) takeFirst(expiry func(K) (int64, bool), visited *int) (K, bool) {
	return q.takeDue(math.MaxInt64, expiry, visited)
}

func (q *expiryQueue[K]) less(i, j int) bool {
	a, b := q.entries[i], q.entries[j]
	return cmp.Or(cmp.Compare(a.unixMs, b.unixMs), q.compare(a.key, b.key)) < 0
}

func (q *expiryQueue[K]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.entries[i], q.entries[parent] = q.entries[parent], q.entries[i]
		i = parent
	}
}

func (q *expiryQueue[K]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.entries); child++ {
			if q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.entries[i], q.entries[least] = q.entries[least], q.entries[i]
		i = least
	}
}
