package masticsuspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticladder/masticview"
)

// expireParts removes expired records of parts.
func (t *Tracker) expireParts(now time.Time) {
	for {
		d, ok := t.partExpiry.takeDue(now.UnixMilli(), t.partExpiresAt, &t.visited)
		if !ok {
			return
		}
		t.removePart(d)
	}
}

// evictParts removes records of parts if there are more than MaxPartRecords, an eighth at once.
func (t *Tracker) evictParts() {
	if len(t.parts) <= MaxPartRecords {
		return
	}
	ranks := make([]evictionRank, 0, len(t.parts))
	t.visited += len(t.parts)
	for d, p := range t.parts {
		rounds, _ := p.rounds(true)
		ranks = append(ranks, evictionRank{d, rounds, len(p.failures), p.expiresUnixMs})
	}
	slices.SortFunc(ranks, evictionRank.compare)
	for _, r := range ranks[:len(ranks)-MaxPartRecords*7/8] {
		t.removePart(r.digest)
	}
}

// evictionRank orders the records of parts: the lowest are evicted first.
type evictionRank struct {
	digest           masticview.Digest
	rounds, failures int
	expiresUnixMs    int64
}

func (r evictionRank) compare(o evictionRank) int {
	return cmp.Or(cmp.Compare(r.rounds, o.rounds), cmp.Compare(r.failures, o.failures),
		cmp.Compare(r.expiresUnixMs, o.expiresUnixMs), r.digest.Compare(o.digest))
}

func (t *Tracker) sortedParts() []masticview.Digest {
	return slices.SortedFunc(maps.Keys(t.parts), masticview.Digest.Compare)
}
