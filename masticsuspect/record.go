package masticsuspect

import (
	"iter"
	"slices"
	"time"

	"masticladder/masticview"
)

// record is a request that ran on backend servers when they failed.
type record struct {
	// incarnations are those that have ended, lost those of which that is not known.
	incarnations, lost []string
	quarantineAfter    int
	expiresUnixMs      int64
}

// failures returns the number of servers that failed under the request.
func (r record) failures() int { return len(r.incarnations) + len(r.lost) }

// suspect reports whether one more ended incarnation would quarantine the request.
func (r record) suspect() bool { return r.failures() >= r.quarantineAfter-1 }

// withFailure returns a copy that contains incarnation, as lost or ended.
func (r record) withFailure(incarnation string, lost bool) record {
	r = r.without(incarnation)
	if lost {
		r.lost = append(r.lost, incarnation)
	} else {
		r.incarnations = append(r.incarnations, incarnation)
	}
	return r
}

// without returns a copy without incarnation.
func (r record) without(incarnation string) record {
	same := func(x string) bool { return x == incarnation }
	r.incarnations = slices.DeleteFunc(slices.Clone(r.incarnations), same)
	r.lost = slices.DeleteFunc(slices.Clone(r.lost), same)
	return r
}

func (r record) contains(incarnation string) bool {
	return slices.Contains(r.incarnations, incarnation) || slices.Contains(r.lost, incarnation)
}

// recordExpiresAt returns when the record of a request expires, and false if there is none.
func (t *Tracker) recordExpiresAt(d masticview.Digest) (int64, bool) {
	r, ok := t.records[d]
	return r.expiresUnixMs, ok
}

func (t *Tracker) recordExpiries() iter.Seq2[masticview.Digest, int64] {
	return func(yield func(masticview.Digest, int64) bool) {
		for d, r := range t.records {
			if !yield(d, r.expiresUnixMs) {
				return
			}
		}
	}
}

func (t *Tracker) expireRecords(now time.Time) {
	for {
		d, ok := t.recordExpiry.takeDue(now.UnixMilli(), t.recordExpiresAt, &t.visited)
		if !ok {
			return
		}
		t.remove(d)
	}
}
