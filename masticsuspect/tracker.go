// Package masticsuspect identifies the requests that crash backend servers. It is a
// deterministic state machine: commands and the time come from the replicated log.
//
// When an incarnation of a backend server ends, the requests that ran on it become suspects.
// A suspect is sent again only under a hold, an exclusive lease on its backend server among
// suspects. As two suspects never run on the same backend server, an innocent one completes
// and is cleared. A request that ran on two distinct incarnations when they ended is
// quarantined.
package masticsuspect

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// SuspectTTL is how long a request stays a suspect after the last incarnation that ended.
	SuspectTTL = 10 * time.Minute
	// QuarantineThreshold is the number of ended incarnations at which a request is quarantined.
	QuarantineThreshold = 2
	// MaxSuspects bounds the number of suspects; those that expire first are evicted.
	MaxSuspects = 16_384
	// MaxHoldTTL bounds the duration of a hold.
	MaxHoldTTL = 30 * time.Minute
)

// suspect is a request that ran on backend servers when they ended.
type suspect struct {
	incarnations  []string
	expiresUnixMs int64
}

// Tracker is the set of suspects and holds. It is not safe for concurrent use.
type Tracker struct {
	suspects    map[masticview.Digest]suspect
	holds       map[string]*masticproto.SuspectHold
	fingerprint uint64
}

// New returns a Tracker without suspects and holds.
func New() *Tracker {
	return &Tracker{
		suspects: make(map[masticview.Digest]suspect),
		holds:    make(map[string]*masticproto.SuspectHold),
	}
}

// Suspect reports whether the request with digest d is a suspect.
func (t *Tracker) Suspect(d masticview.Digest) bool {
	_, ok := t.suspects[d]
	return ok
}

// Suspects returns the number of suspects.
func (t *Tracker) Suspects() int { return len(t.suspects) }

// Digests returns the digests of all suspects in ascending order.
func (t *Tracker) Digests() []masticview.Digest { return t.sortedDigests() }

// Fingerprint returns a hash of the set of suspects. It is equal on all replicas and zero for
// an empty set; different sets can collide.
func (t *Tracker) Fingerprint() uint64 { return t.fingerprint }

// put adds or replaces a suspect. Like remove, it updates the fingerprint, the exclusive or
// of the digests' first 8 bytes.
func (t *Tracker) put(d masticview.Digest, s suspect) {
	if !t.Suspect(d) {
		t.fingerprint ^= binary.BigEndian.Uint64(d[:])
	}
	t.suspects[d] = s
}

func (t *Tracker) remove(d masticview.Digest) {
	if t.Suspect(d) {
		t.fingerprint ^= binary.BigEndian.Uint64(d[:])
	}
	delete(t.suspects, d)
}

// Report records that an incarnation of a backend server ended while it ran the given
// requests. It returns the requests to quarantine now; they are no longer suspects. Several
// hosts may report the end of the same incarnation.
func (t *Tracker) Report(now time.Time, r *masticproto.SuspectReport) ([]masticview.Digest, error) {
	digests := make([]masticview.Digest, 0, len(r.GetDigests()))
	for _, b := range r.GetDigests() {
		d, err := masticview.DigestFromBytes(b)
		if err != nil {
			return nil, err
		}
		digests = append(digests, d)
	}
	t.Expire(now)
	incarnation := r.GetServer() + "\x00" + r.GetServerIncarnation()
	var quarantined []masticview.Digest
	for _, d := range digests {
		if t.addIncarnation(now, d, incarnation) {
			quarantined = append(quarantined, d)
		}
	}
	t.evictExcess()
	return quarantined, nil
}

// addIncarnation adds an ended incarnation to the suspect d and reports whether d reached the
// quarantine threshold.
func (t *Tracker) addIncarnation(now time.Time, d masticview.Digest, incarnation string) bool {
	s := t.suspects[d]
	if !slices.Contains(s.incarnations, incarnation) {
		s.incarnations = append(slices.Clone(s.incarnations), incarnation)
		s.expiresUnixMs = now.Add(SuspectTTL).UnixMilli()
	}
	if len(s.incarnations) >= QuarantineThreshold {
		t.remove(d)
		return true
	}
	t.put(d, s)
	return false
}

// evictExcess removes the suspects that expire first, down to MaxSuspects.
func (t *Tracker) evictExcess() {
	if len(t.suspects) <= MaxSuspects {
		return
	}
	digests := t.sortedDigests()
	slices.SortStableFunc(digests, func(a, b masticview.Digest) int {
		return cmp.Compare(t.suspects[a].expiresUnixMs, t.suspects[b].expiresUnixMs)
	})
	for _, d := range digests[:len(digests)-MaxSuspects] {
		t.remove(d)
	}
}

// AcquireHold acquires the hold of a backend server until the hold's deadline, at most MaxHoldTTL
// from now, and reports whether it was granted. Acquiring the same hold again succeeds. A
// request that is not a suspect needs no hold: AcquireHold then returns true and records none.
func (t *Tracker) AcquireHold(now time.Time, h *masticproto.SuspectHold) bool {
	d, err := masticview.DigestFromBytes(h.GetDigest())
	if err != nil || h.GetDeadlineUnixMs() <= now.UnixMilli() {
		return false
	}
	if !t.Suspect(d) {
		return true
	}
	if old, ok := t.holds[h.GetServer()]; ok && old.GetDeadlineUnixMs() > now.UnixMilli() {
		return sameHold(old, h)
	}
	hold := &masticproto.SuspectHold{
		Digest: h.GetDigest(), Server: h.GetServer(), Host: h.GetHost(), Incarnation: h.GetIncarnation(),
		DeadlineUnixMs: min(h.GetDeadlineUnixMs(), now.Add(MaxHoldTTL).UnixMilli()),
	}
	t.holds[h.GetServer()] = hold
	return true
}

func sameHold(a, b *masticproto.SuspectHold) bool {
	return bytes.Equal(a.GetDigest(), b.GetDigest()) && a.GetHost() == b.GetHost() && a.GetIncarnation() == b.GetIncarnation()
}

// ReleaseHold releases the hold of a suspect. A request that completed is no longer a suspect.
func (t *Tracker) ReleaseHold(e *masticproto.SuspectEnd) {
	h, ok := t.holds[e.GetServer()]
	ended := &masticproto.SuspectHold{Digest: e.GetDigest(), Host: e.GetHost(), Incarnation: e.GetIncarnation()}
	if !ok || !sameHold(h, ended) {
		return
	}
	delete(t.holds, e.GetServer())
	if d, err := masticview.DigestFromBytes(e.GetDigest()); err == nil && e.GetCompleted() {
		t.remove(d)
	}
}

// Expire removes expired suspects and holds.
func (t *Tracker) Expire(now time.Time) {
	for d, s := range t.suspects {
		if s.expiresUnixMs <= now.UnixMilli() {
			t.remove(d)
		}
	}
	for n, h := range t.holds {
		if h.GetDeadlineUnixMs() <= now.UnixMilli() {
			delete(t.holds, n)
		}
	}
}

func (t *Tracker) sortedDigests() []masticview.Digest {
	out := make([]masticview.Digest, 0, len(t.suspects))
	for d := range t.suspects {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b masticview.Digest) int { return bytes.Compare(a[:], b[:]) })
	return out
}
