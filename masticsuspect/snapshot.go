package masticsuspect

import (
	"maps"
	"slices"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// Snapshot returns all records, holds and recent ends in wire form, in a deterministic order.
func (t *Tracker) Snapshot() *masticproto.SuspectSnapshot {
	out := &masticproto.SuspectSnapshot{}
	for _, d := range t.sortedDigests() {
		r := t.records[d]
		out.Suspects = append(out.Suspects, &masticproto.SuspectRecord{
			Digest: d[:], Ended: r.incarnations, UntilUnixMs: r.expiresUnixMs, QuarantineAfter: uint32(r.quarantineAfter),
		})
	}
	for _, n := range slices.Sorted(maps.Keys(t.holds)) {
		out.Holds = append(out.Holds, t.holds[n])
	}
	out.Ended = slices.Clone(t.recentEnds)
	return out
}

// Restore returns a Tracker with the contents of s. It returns a badRequest error for a
// malformed digest.
func Restore(s *masticproto.SuspectSnapshot) (*Tracker, error) {
	t := New()
	for _, r := range s.GetSuspects() {
		d, err := masticview.DigestFromBytes(r.GetDigest())
		if err != nil {
			return nil, err
		}
		t.put(d, record{
			incarnations: r.GetEnded(), expiresUnixMs: r.GetUntilUnixMs(),
			quarantineAfter: max(int(r.GetQuarantineAfter()), DefaultQuarantineAfter),
		})
	}
	for _, h := range s.GetHolds() {
		t.holds[h.GetServer()] = h
	}
	t.recentEnds = slices.Clone(s.GetEnded())
	return t, nil
}
