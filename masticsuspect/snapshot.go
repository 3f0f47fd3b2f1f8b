package masticsuspect

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
	"masticladder/masticview"
)

func (t *Tracker) restorePart(r *masticproto.PartRecord) error {
	d, err := masticview.DigestFromBytes(r.GetDigest())
	if err != nil {
		return err
	}
	t.setPart(d, partFromProto(r))
	return nil
}

// Snapshot returns all records, holds and recent failures in wire form, in a deterministic order.
func (t *Tracker) Snapshot() *masticproto.SuspectSnapshot {
	out := &masticproto.SuspectSnapshot{}
	for _, d := range t.sortedDigests() {
		r := t.records[d]
		out.Suspects = append(out.Suspects, &masticproto.SuspectRecord{
			Digest: d[:], Ended: r.incarnations, Lost: r.lost, UntilUnixMs: r.expiresUnixMs, QuarantineAfter: uint32(r.quarantineAfter),
		})
	}
	for _, n := range slices.Sorted(maps.Keys(t.holds)) {
		out.Holds = append(out.Holds, t.holds[n])
	}
	for _, x := range t.servers {
		out.Ended = append(out.Ended, proto.CloneOf(x))
	}
	for _, d := range t.sortedParts() {
		out.Parts = append(out.Parts, t.parts[d].proto(d))
	}
	out.Trials, out.Completed = t.trials.snapshot(), t.completed.snapshot()
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
			incarnations: r.GetEnded(), lost: r.GetLost(), expiresUnixMs: r.GetUntilUnixMs(),
			quarantineAfter: max(int(r.GetQuarantineAfter()), DefaultQuarantineAfter),
		})
	}
	for _, h := range s.GetHolds() {
		t.putHold(h)
	}
	for _, x := range s.GetEnded() {
		x = proto.CloneOf(x)
		if !x.GetLost() && x.GetEndedUnixMs() == 0 {
			x.EndedUnixMs = x.GetAtUnixMs()
		}
		t.servers = append(t.servers, x)
	}
	for _, r := range s.GetParts() {
		if err := t.restorePart(r); err != nil {
			return nil, err
		}
	}
	if err := t.completed.restore(s); err != nil {
		return nil, err
	}
	if err := t.trials.restore(s); err != nil {
		return nil, err
	}
	t.trialsAdded = true
	for incarnation := range t.trials {
		t.index.untried[incarnation] = struct{}{}
	}
	return t, nil
}
