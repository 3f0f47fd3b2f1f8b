package masticdetector

import (
	"encoding/binary"
	"time"

	"masticladder/masticview"
)

const (
	// recentTTL is the least time for which a digest is remembered, unless there are more than
	// maxRecent.
	recentTTL = 15 * time.Second
	// maxRecent bounds the digests of one generation. Prompts of many parts that nobody sends again leave room for others.
	maxRecent = 1 << 15
)

// recentDigests remembers digests for recentTTL to twice that, with the time of the last addition, in two
// generations. It holds the first 8 bytes of each.
type recentDigests struct {
	// newer and older hold Unix times in nanoseconds.
	newer, older map[uint64]int64
	newerFrom    time.Time
}

func key(d masticview.Digest) uint64 { return binary.BigEndian.Uint64(d[:]) }

// add adds d at now.
func (r *recentDigests) add(now time.Time, d masticview.Digest) {
	r.expire(now)
	if len(r.newer) >= maxRecent {
		r.rotate(now)
	}
	r.newer[key(d)] = now.UnixNano()
}

// contains reports whether d was added a short time before now.
func (r *recentDigests) contains(now time.Time, d masticview.Digest) bool {
	_, ok := r.last(now, d)
	return ok
}

// last returns when d was last added, and false if that was not a short time before now.
func (r *recentDigests) last(now time.Time, d masticview.Digest) (time.Time, bool) {
	r.expire(now)
	at, ok := r.newer[key(d)]
	if !ok {
		at, ok = r.older[key(d)]
	}
	return time.Unix(0, at), ok
}

// expire removes digests that are older than twice recentTTL.
func (r *recentDigests) expire(now time.Time) {
	switch age := now.Sub(r.newerFrom); {
	case r.newer == nil || age >= 2*recentTTL:
		r.older = nil
		r.newer, r.newerFrom = map[uint64]int64{}, now
	case age >= recentTTL:
		r.rotate(now)
	}
}

func (r *recentDigests) rotate(now time.Time) {
	r.older, r.newer, r.newerFrom = r.newer, map[uint64]int64{}, now
}
