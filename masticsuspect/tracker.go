// Package masticsuspect finds the requests that crash backend servers. It is deterministic:
// the replicated log gives it commands and the time.
//
// When an incarnation of a backend server ends, the requests that ran on it become suspects.
// A suspect is sent again only under a hold of its backend server, and two suspects never
// hold one backend server, so that a bystander completes and is cleared. A request for which
// two distinct incarnations ended is quarantined.
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
	// SuspectSpan is for how long after the last end a request stays a suspect.
	SuspectSpan = 10 * time.Minute
	// QuarantineEnds is the number of ended incarnations after which a request is quarantined.
	QuarantineEnds = 2
	// MaxSuspects bounds the suspects; the ones that end first make room.
	MaxSuspects = 16_384
	// MaxHoldSpan bounds a hold.
	MaxHoldSpan = 30 * time.Minute
)

// suspect is a request that ran when backend servers ended.
type suspect struct {
	ended []string
	until int64
}

// Tracker holds the suspects and holds. It is changed by one goroutine only.
type Tracker struct {
	suspects    map[masticview.Digest]suspect
	holds       map[string]*masticproto.SuspectHold
	fingerprint uint64
}

// New returns an empty tracker.
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

// Digests returns the suspects in a fixed order.
func (t *Tracker) Digests() []masticview.Digest { return t.sorted() }

// Fingerprint returns a number that differs, but for chance, where the set of suspects does.
// It is the same on all replicas, and zero for an empty set.
func (t *Tracker) Fingerprint() uint64 { return t.fingerprint }

// put and remove keep the fingerprint: the exclusive or of the digests' first 8 bytes.
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

// Report notes that an incarnation of a backend server ended under the given requests. It
// returns those that are now to be quarantined; they are no suspects any more. Several
// hosts may report one end.
func (t *Tracker) Report(now time.Time, r *masticproto.SuspectReport) ([]masticview.Digest, error) {
	digests := make([]masticview.Digest, 0, len(r.GetDigests()))
	for _, b := range r.GetDigests() {
		d, err := masticview.DigestFromBytes(b)
		if err != nil {
			return nil, err
		}
		digests = append(digests, d)
	}
	t.Drop(now)
	end := r.GetServer() + "\x00" + r.GetServerIncarnation()
	var quarantined []masticview.Digest
	for _, d := range digests {
		if t.implicate(now, d, end) {
			quarantined = append(quarantined, d)
		}
	}
	t.trim()
	return quarantined, nil
}

// implicate adds an ended incarnation to d and reports whether they are enough for a quarantine.
func (t *Tracker) implicate(now time.Time, d masticview.Digest, end string) bool {
	s := t.suspects[d]
	if !slices.Contains(s.ended, end) {
		s.ended = append(slices.Clone(s.ended), end)
		s.until = now.Add(SuspectSpan).UnixMilli()
	}
	if len(s.ended) >= QuarantineEnds {
		t.remove(d)
		return true
	}
	t.put(d, s)
	return false
}

// trim removes the suspects that end first while there are too many.
func (t *Tracker) trim() {
	if len(t.suspects) <= MaxSuspects {
		return
	}
	digests := t.sorted()
	slices.SortStableFunc(digests, func(a, b masticview.Digest) int {
		return cmp.Compare(t.suspects[a].until, t.suspects[b].until)
	})
	for _, d := range digests[:len(digests)-MaxSuspects] {
		t.remove(d)
	}
}

// Hold asks for a backend server on which no other suspect runs until the hold's deadline.
// It reports whether that is given. A request that is no suspect needs no hold.
func (t *Tracker) Hold(now time.Time, h *masticproto.SuspectHold) bool {
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
	kept := &masticproto.SuspectHold{
		Digest: h.GetDigest(), Server: h.GetServer(), Host: h.GetHost(), Incarnation: h.GetIncarnation(),
		DeadlineUnixMs: min(h.GetDeadlineUnixMs(), now.Add(MaxHoldSpan).UnixMilli()),
	}
	t.holds[h.GetServer()] = kept
	return true
}

func sameHold(a, b *masticproto.SuspectHold) bool {
	return bytes.Equal(a.GetDigest(), b.GetDigest()) && a.GetHost() == b.GetHost() && a.GetIncarnation() == b.GetIncarnation()
}

// End ends the hold of a suspect. One that completed is a suspect no more.
func (t *Tracker) End(e *masticproto.SuspectEnd) {
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

// Drop removes the suspects and holds whose deadline has passed.
func (t *Tracker) Drop(now time.Time) {
	for d, s := range t.suspects {
		if s.until <= now.UnixMilli() {
			t.remove(d)
		}
	}
	for n, h := range t.holds {
		if h.GetDeadlineUnixMs() <= now.UnixMilli() {
			delete(t.holds, n)
		}
	}
}

func (t *Tracker) sorted() []masticview.Digest {
	out := make([]masticview.Digest, 0, len(t.suspects))
	for d := range t.suspects {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b masticview.Digest) int { return bytes.Compare(a[:], b[:]) })
	return out
}
