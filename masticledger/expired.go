package masticledger

import (
	"slices"
	"time"
)

// ExpiredKeys records the keys whose records were removed, to distinguish them from new
// keys. The horizon covers expired keys with an embedded timestamp; every other expired
// key leaves a tombstone, which is never removed.
// The zero value is empty and ready to use.
type ExpiredKeys struct {
	horizonMs  int64
	tombstones digestSet
}

// MayContain reports whether the key with the given digest and timestamp may have expired.
// It may return true for a new key, and never returns false for an expired one.
func (e *ExpiredKeys) MayContain(digest uint64, keyTimeMs int64) bool {
	return e.tombstones.contains(digest) || (keyTimeMs != 0 && keyTimeMs <= e.horizonMs)
}

// Add records an expired key; keyTimeMs is zero for a key without a timestamp.
func (e *ExpiredKeys) Add(digest uint64, keyTimeMs int64) {
	if keyTimeMs != 0 {
		e.horizonMs = max(e.horizonMs, keyTimeMs)
		return
	}
	e.tombstones.add(digest)
}

// TombstoneCount returns the number of tombstones.
func (e *ExpiredKeys) TombstoneCount() int { return e.tombstones.count() }

// Horizon returns the latest timestamp of an expired key.
func (e *ExpiredKeys) Horizon() time.Time { return time.UnixMilli(e.horizonMs) }

// Save returns the horizon in Unix milliseconds and the sorted tombstones.
func (e *ExpiredKeys) Save() (horizonMs int64, tombstones []uint64) {
	return e.horizonMs, e.tombstones.all()
}

// RestoreExpiredKeys returns the ExpiredKeys with the values that Save returned.
func RestoreExpiredKeys(horizonMs int64, tombstones []uint64) ExpiredKeys {
	return ExpiredKeys{horizonMs: horizonMs, tombstones: digestSet{sorted: slices.Sorted(slices.Values(tombstones))}}
}
