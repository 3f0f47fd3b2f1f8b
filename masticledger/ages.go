package masticledger

import (
	"slices"
	"time"
)

// Ages tells keys that were dropped from keys that are new. A dropped key that bears its
// time moves the horizon; any other leaves a tombstone, which is kept for good.
// The zero Ages is empty and ready to use.
type Ages struct {
	horizonMs  int64
	tombstones digests
}

// Dropped reports whether a key with the given digest and time was dropped. Where it
// cannot be told from a dropped key, it counts as dropped.
func (a *Ages) Dropped(digest uint64, keyMs int64) bool {
	return a.tombstones.has(digest) || (keyMs != 0 && keyMs <= a.horizonMs)
}

// Drop notes that a key was dropped; keyMs is zero for a key without a time.
func (a *Ages) Drop(digest uint64, keyMs int64) {
	if keyMs != 0 {
		a.horizonMs = max(a.horizonMs, keyMs)
		return
	}
	a.tombstones.add(digest)
}

// Tombstones returns the number of tombstones.
func (a *Ages) Tombstones() int { return a.tombstones.count() }

// Horizon returns the latest time of a dropped key.
func (a *Ages) Horizon() time.Time { return time.UnixMilli(a.horizonMs) }

// Save returns the horizon in Unix milliseconds and the sorted tombstones.
func (a *Ages) Save() (horizonMs int64, tombstones []uint64) {
	return a.horizonMs, a.tombstones.all()
}

// RestoreAges returns what Save returned as Ages.
func RestoreAges(horizonMs int64, tombstones []uint64) Ages {
	return Ages{horizonMs: horizonMs, tombstones: digests{sorted: slices.Sorted(slices.Values(tombstones))}}
}
