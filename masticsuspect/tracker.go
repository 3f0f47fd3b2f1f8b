// Package masticsuspect identifies the requests that crash backend servers. It is a
// deterministic state machine: commands and the time come from the replicated log.
//
// When an incarnation of a backend server ends, the requests that ran on it are recorded. A
// request is quarantined when a number of distinct incarnations, which the reports state, have
// ended under it, unless most servers that ended at that time did not run it. One end before that
// it is a suspect, which is sent again only under a hold, an exclusive lease on its backend server
// among suspects. As two suspects never run on the same backend server, an innocent one completes
// and is cleared.
package masticsuspect

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// RecordTTL is how long a request is recorded after the last incarnation that ended.
	RecordTTL = 10 * time.Minute
	// DefaultQuarantineAfter is the number of ended incarnations at which a request is quarantined
	// if the report states none. It is also the least such number.
	DefaultQuarantineAfter = 2
	// UnnamedWindow is the time within which the ends of a server that states no incarnation count as
	// one: several hosts report one end within it, and a server takes longer to start again.
	UnnamedWindow = 2 * time.Second
	// WaveWindow is the time within which ends of servers may have one cause, such as a lost rack. A
	// request is quarantined only if it ran on at least half of the servers that ended within it.
	WaveWindow = 2 * time.Second
	// maxRecentEnds bounds the ends that are remembered for WaveWindow.
	maxRecentEnds = 1024
	// MaxRecords bounds the number of recorded requests; those that expire first are evicted.
	MaxRecords = 16_384
	// MaxHoldTTL bounds the duration of a hold.
	MaxHoldTTL = 30 * time.Minute
)

// record is a request that ran on backend servers when they ended.
type record struct {
	incarnations    []string
	quarantineAfter int
	expiresUnixMs   int64
}

// suspect reports whether one more ended incarnation would quarantine the request.
func (r record) suspect() bool { return len(r.incarnations) >= r.quarantineAfter-1 }

// Tracker is the set of recorded requests and holds. It is not safe for concurrent use.
type Tracker struct {
	records     map[masticview.Digest]record
	holds       map[string]*masticproto.SuspectHold
	fingerprint uint64
	// recentEnds are the incarnations that ended within WaveWindow, the oldest first.
	recentEnds []*masticproto.EndedServer
}

// New returns a Tracker without records and holds.
func New() *Tracker {
	return &Tracker{
		records: make(map[masticview.Digest]record),
		holds:   make(map[string]*masticproto.SuspectHold),
	}
}

// Suspect reports whether the request with digest d is a suspect.
func (t *Tracker) Suspect(d masticview.Digest) bool {
	r, ok := t.records[d]
	return ok && r.suspect()
}

// Records returns the number of recorded requests, suspects or not.
func (t *Tracker) Records() int { return len(t.records) }

// MostEnds returns the largest number of ended servers that is recorded for one of the digests.
func (t *Tracker) MostEnds(digests [][]byte) int {
	most := 0
	for _, b := range digests {
		if d, err := masticview.DigestFromBytes(b); err == nil {
			most = max(most, len(t.records[d].incarnations))
		}
	}
	return most
}

// Suspects returns the digests of all suspects in ascending order.
func (t *Tracker) Suspects() []masticview.Digest {
	return slices.DeleteFunc(t.sortedDigests(), func(d masticview.Digest) bool { return !t.Suspect(d) })
}

// Fingerprint returns a hash of the set of suspects. It is equal on all replicas and zero for
// an empty set; different sets can collide.
func (t *Tracker) Fingerprint() uint64 { return t.fingerprint }

// put adds or replaces a record. Like remove, it updates the fingerprint, the exclusive or
// of the suspects' first 8 bytes.
func (t *Tracker) put(d masticview.Digest, r record) {
	t.remove(d)
	t.records[d] = r
	if r.suspect() {
		t.fingerprint ^= binary.BigEndian.Uint64(d[:])
	}
}

func (t *Tracker) remove(d masticview.Digest) {
	if t.Suspect(d) {
		t.fingerprint ^= binary.BigEndian.Uint64(d[:])
	}
	delete(t.records, d)
}

// Report records that an incarnation of a backend server ended while it ran the given
// requests. For a server that states no incarnation, ends within UnnamedWindow are one. It returns
// the requests to quarantine now. They stay suspects, so that a host which does not know of the
// quarantine yet asks for a hold, which it does not get. Several
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
	var quarantined []masticview.Digest
	for _, d := range digests {
		incarnation := t.incarnationName(now, r)
		if t.addIncarnation(now, d, incarnation, int(r.GetQuarantineAfter())) {
			quarantined = append(quarantined, d)
		}
	}
	t.evictExcess()
	return quarantined, nil
}

// incarnationName returns the name of the incarnation that r reports. An unnamed one has the time of
// the first report of its end instead, whichever request that was about.
func (t *Tracker) incarnationName(now time.Time, r *masticproto.SuspectReport) string {
	if r.GetServerIncarnation() != "" {
		return r.GetServer() + "\x00" + r.GetServerIncarnation()
	}
	prefix := r.GetServer() + "\x00@"
	for _, e := range t.recentEnds {
		if strings.HasPrefix(e.GetIncarnation(), prefix) && now.Sub(time.UnixMilli(e.GetAtUnixMs())) < UnnamedWindow {
			return e.GetIncarnation()
		}
	}
	return prefix + strconv.FormatInt(now.UnixMilli(), 10)
}

// addIncarnation adds an ended incarnation to the record of d and reports whether d is to be
// quarantined. Of the numbers of ends that reports state, the smallest counts.
func (t *Tracker) addIncarnation(now time.Time, d masticview.Digest, incarnation string, quarantineAfter int) bool {
	quarantineAfter = max(quarantineAfter, DefaultQuarantineAfter)
	r, ok := t.records[d]
	if !ok || quarantineAfter < r.quarantineAfter {
		r.quarantineAfter = quarantineAfter
	}
	if !slices.Contains(r.incarnations, incarnation) {
		r.incarnations = append(slices.Clone(r.incarnations), incarnation)
		r.expiresUnixMs = now.Add(RecordTTL).UnixMilli()
	}
	t.put(d, r)
	t.recordEnd(now, incarnation)
	return len(r.incarnations) >= r.quarantineAfter && t.ranOnHalf(r)
}

// recordEnd adds an incarnation to the recent ends, unless it is one of them, and removes old ones.
func (t *Tracker) recordEnd(now time.Time, incarnation string) {
	oldest := now.Add(-WaveWindow).UnixMilli()
	known := false
	t.recentEnds = slices.DeleteFunc(t.recentEnds, func(e *masticproto.EndedServer) bool {
		known = known || e.GetIncarnation() == incarnation
		return e.GetAtUnixMs() <= oldest && e.GetIncarnation() != incarnation
	})
	if !known && len(t.recentEnds) < maxRecentEnds {
		t.recentEnds = append(t.recentEnds, &masticproto.EndedServer{Incarnation: incarnation, AtUnixMs: now.UnixMilli()})
	}
}

// ranOnHalf reports whether the recorded request ran on at least half of the servers that ended
// recently. Of a harmless one, many copies may run on the servers of a rack that is lost.
func (t *Tracker) ranOnHalf(r record) bool {
	own := 0
	for _, e := range t.recentEnds {
		if slices.Contains(r.incarnations, e.GetIncarnation()) {
			own++
		}
	}
	return 2*own >= len(t.recentEnds)
}

// evictExcess removes the records that expire first, down to MaxRecords.
func (t *Tracker) evictExcess() {
	if len(t.records) <= MaxRecords {
		return
	}
	digests := t.sortedDigests()
	slices.SortStableFunc(digests, func(a, b masticview.Digest) int {
		return cmp.Compare(t.records[a].expiresUnixMs, t.records[b].expiresUnixMs)
	})
	for _, d := range digests[:len(digests)-MaxRecords] {
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

// ReleaseHold releases the hold of a suspect. A request that completed is no longer recorded.
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

// Expire removes expired records and holds.
func (t *Tracker) Expire(now time.Time) {
	for d, r := range t.records {
		if r.expiresUnixMs <= now.UnixMilli() {
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
	out := make([]masticview.Digest, 0, len(t.records))
	for d := range t.records {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b masticview.Digest) int { return bytes.Compare(a[:], b[:]) })
	return out
}
