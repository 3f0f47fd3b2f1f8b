// Package masticsuspect identifies the requests that crash backend servers. It is a
// deterministic state machine: commands and the time come from the replicated log, or from the host
// that counts for itself.
//
// When a backend server fails, the requests that ran on it are recorded. At first the server may only
// be lost: it shows no sign of life, and whether it has ended is learnt later. A request is quarantined
// when a number of distinct incarnations, which the reports state, have ended under it, unless most
// servers that failed at that time did not run it. One failure before that it is a suspect, which is
// sent again only under a hold, an exclusive lease on its backend server among suspects. As two
// suspects never run on the same backend server, an innocent one completes and is cleared. While so
// many servers are lost under a request that it would be quarantined if they had ended, it gets no
// hold.
//
// Requests that are not alike may have one part of their prompts in common that crashes servers. Such parts
// are recorded beside the requests. With the first failure a part becomes a suspect, of which one request
// at a time runs over all hosts, under a hold, as a trial. Two trials that fail too, with no request with the
// part completed in between, quarantine it.
package masticsuspect

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// RecordTTL is how long a request is recorded after the last server that failed under it.
	RecordTTL = 10 * time.Minute
	// DefaultQuarantineAfter is the number of ended incarnations at which a request is quarantined
	// if the report states none. It is also the least such number.
	DefaultQuarantineAfter = 2
	// MaxRecords bounds the number of recorded requests; those that expire first are evicted.
	MaxRecords = 16_384
)

// Tracker is the set of recorded requests and holds. It is not safe for concurrent use.
type Tracker struct {
	records     map[masticview.Digest]record
	holds       map[string]*masticproto.SuspectHold
	fingerprint uint64
	maxRecords  int
	recordTTL   time.Duration
	// servers are those that failed within failureTTL, the oldest first.
	servers failedServers
	parts   map[masticview.Digest]part
	trials  trialSets
	// completed holds when requests were last reported to have completed.
	completed completions
	// cleared are the parts that TakeCleared returns next.
	cleared []masticview.Digest
	index   index
	// recordExpiry, partExpiry and holdExpiry order the records and holds by the time at which they expire.
	recordExpiry, partExpiry *expiryQueue[masticview.Digest]
	holdExpiry               *expiryQueue[string]
	// changes are the last changes of the set of suspects, keptChanges at most. They are no part of snapshots.
	changes      []suspectChange
	keptChanges  int
	suspectCount int
	// trialsAdded reports that trials may have grown over maxTrialDigests.
	trialsAdded bool
	// visited counts the records, holds and index entries that were looked at, in place of the time that calls took.
	visited int
}

// Option sets one property of a Tracker.
type Option func(*Tracker)

// WithMaxRecords replaces MaxRecords.
func WithMaxRecords(n int) Option { return func(t *Tracker) { t.maxRecords = n } }

// WithRecordTTL replaces RecordTTL.
func WithRecordTTL(d time.Duration) Option { return func(t *Tracker) { t.recordTTL = d } }

// New returns a Tracker without records and holds.
func New(options ...Option) *Tracker {
	t := &Tracker{
		records:    make(map[masticview.Digest]record),
		holds:      make(map[string]*masticproto.SuspectHold),
		parts:      make(map[masticview.Digest]part),
		trials:     trialSets{},
		completed:  newCompletions(),
		index:      newIndex(),
		maxRecords: MaxRecords, recordTTL: RecordTTL, keptChanges: DefaultKeptChanges,
		recordExpiry: newExpiryQueue(masticview.Digest.Compare),
		partExpiry:   newExpiryQueue(masticview.Digest.Compare),
		holdExpiry:   newExpiryQueue(strings.Compare),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Suspect reports whether the request, or the part, with digest d is a suspect.
func (t *Tracker) Suspect(d masticview.Digest) bool {
	return t.suspectRequest(d) || t.parts[d].suspicion() != notSuspected
}

func (t *Tracker) suspectRequest(d masticview.Digest) bool {
	r, ok := t.records[d]
	return ok && r.suspect()
}

// Records returns the number of recorded requests, suspects or not.
func (t *Tracker) Records() int { return len(t.records) }

// MostFailures returns the largest number of failed servers that is recorded for one of the digests.
func (t *Tracker) MostFailures(digests [][]byte) int {
	most := 0
	for _, b := range digests {
		if d, err := masticview.DigestFromBytes(b); err == nil {
			most = max(most, t.records[d].failures())
		}
	}
	return most
}

// Suspects returns the digests of all suspects: those of requests and then those of parts, in ascending
// order.
func (t *Tracker) Suspects() []masticview.Digest {
	return slices.DeleteFunc(append(t.sortedDigests(), t.sortedParts()...), func(d masticview.Digest) bool { return !t.Suspect(d) })
}

// Fingerprint returns a hash of the set of suspects. It is equal on all replicas and zero for
// an empty set; different sets can collide.
func (t *Tracker) Fingerprint() uint64 { return t.fingerprint }

// put adds or replaces a record. Like remove, it updates the fingerprint and the index.
func (t *Tracker) put(d masticview.Digest, r record) {
	before, ok := t.records[d]
	t.records[d] = r
	t.index.replaceRecord(d, before, r)
	if (ok && before.suspect()) != r.suspect() {
		t.toggle(d, r.suspect())
	}
	if !ok || r.expiresUnixMs < before.expiresUnixMs {
		t.recordExpiry.add(r.expiresUnixMs, d)
		t.recordExpiry.compact(len(t.records), t.recordExpiries())
	}
}

// toggle adds a suspect to the fingerprint, the exclusive or of the suspects' first 8 bytes, or removes it.
func (t *Tracker) toggle(d masticview.Digest, suspect bool) {
	t.keepChange(d)
	t.fingerprint ^= FingerprintOf(d)
	if suspect {
		t.suspectCount++
	} else {
		t.suspectCount--
	}
}

// FingerprintOf returns the fingerprint of a set of one suspect. That of several is the exclusive or of theirs.
func FingerprintOf(d masticview.Digest) uint64 { return binary.BigEndian.Uint64(d[:]) }

func (t *Tracker) remove(d masticview.Digest) {
	if t.suspectRequest(d) {
		t.toggle(d, false)
	}
	t.index.replaceRecord(d, t.records[d], record{})
	delete(t.records, d)
}

// Report records that an incarnation of a backend server failed while it ran the given requests, or
// that one which did is alive. Several hosts may report the same incarnation. It returns the requests, and
// the parts, to quarantine now. They stay suspects, so that a host which does not know of the quarantine
// yet asks for a hold, which it does not get.
func (t *Tracker) Report(now time.Time, r *masticproto.SuspectReport) ([]masticview.Digest, error) {
	digests, err := requestDigests(r)
	if err != nil {
		return nil, err
	}
	parts, err := newPartReport(now, r)
	if err != nil {
		return nil, err
	}
	t.Expire(now)
	server := r.GetServer() + nameSeparator + r.GetServerIncarnation()
	if t.servers.reportedBy(server, r.GetId()) != nil {
		// The report was committed before. Its requests may have failed on two ends of one listed incarnation.
		return nil, nil
	}
	t.applyCompletions(now, parts)
	switch r.GetVerdict() {
	case masticproto.Verdict_VERDICT_ALIVE:
		t.clearLost(now, t.servers.latest(server))
		return nil, nil
	case masticproto.Verdict_VERDICT_COMPLETED:
		for _, d := range digests {
			t.remove(d)
			t.completed.add(now, d, &t.visited)
		}
		return nil, nil
	}
	lost := r.GetVerdict() == masticproto.Verdict_VERDICT_LOST
	changed := map[masticview.Digest]bool{}
	if x := t.servers.latest(server); x != nil && x.GetLost() && !lost {
		x.Lost, x.EndedUnixMs = false, now.UnixMilli()
		t.confirm(now, x.GetIncarnation(), changed)
	}
	var failed []*masticproto.EndedServer
	for i, d := range digests {
		x := t.servers.running(now, server, r, i)
		if x == nil {
			continue
		}
		// A request that has ended servers by itself before is the cause, and not its parts.
		if !t.suspectRequest(d) {
			t.blameParts(now, parts, i, x, sentUnixMs(now, r, i, x), changed)
		}
		if d != (masticview.Digest{}) && !t.completed.since(d, sentUnixMs(now, r, i, x)) {
			t.add(now, d, x, int(r.GetQuarantineAfter()))
			changed[d] = true
		}
		if !slices.Contains(failed, x) {
			failed = append(failed, x)
		}
	}
	for _, x := range failed {
		addReport(x, r.GetId())
		t.judgeTrials(now, x, changed)
	}
	t.evictExcess(now)
	return t.toQuarantine(changed), nil
}

// requestDigests returns the digests of the requests of r, with the zero digest for those of which only the
// parts may be to blame.
func requestDigests(r *masticproto.SuspectReport) ([]masticview.Digest, error) {
	out := make([]masticview.Digest, 0, len(r.GetDigests()))
	for _, b := range r.GetDigests() {
		if len(b) == 0 {
			out = append(out, masticview.Digest{})
			continue
		}
		d, err := masticview.DigestFromBytes(b)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

// sentUnixMs returns when request i of r was sent, or when x failed if r does not state it.
func sentUnixMs(now time.Time, r *masticproto.SuspectReport, i int, x *masticproto.EndedServer) int64 {
	if i >= len(r.GetAgesMs()) {
		return x.GetAtUnixMs()
	}
	return now.UnixMilli() - r.GetAgesMs()[i]
}

// ConfirmUnlisted makes ended those of the lost servers of which listed does not name the incarnation any
// more: two signs of different kinds say so. It returns the requests to quarantine now.
func (t *Tracker) ConfirmUnlisted(now time.Time, listed func(server string) (incarnation string, ok bool)) []masticview.Digest {
	changed := map[masticview.Digest]bool{}
	for _, x := range t.servers {
		name, incarnation := splitName(x.GetIncarnation())
		current, ok := listed(name)
		if !x.GetLost() || ok && current == incarnation {
			continue
		}
		x.Lost, x.EndedUnixMs = false, now.UnixMilli()
		t.confirm(now, x.GetIncarnation(), changed)
	}
	return t.toQuarantine(changed)
}

// confirm makes a lost incarnation an ended one in all records, and adds these to changed.
func (t *Tracker) confirm(now time.Time, incarnation string, changed map[masticview.Digest]bool) {
	for _, d := range t.lostRecordsOf(incarnation) {
		t.put(d, t.records[d].withFailure(incarnation, false))
		changed[d] = true
	}
	t.confirmParts(now, incarnation, changed)
}

// clearLost removes x from all records if it is lost, since it has not ended.
func (t *Tracker) clearLost(now time.Time, x *masticproto.EndedServer) {
	if x == nil || !x.GetLost() {
		return
	}
	t.servers.remove(x)
	t.clearLostParts(now, x.GetIncarnation())
	for _, d := range t.lostRecordsOf(x.GetIncarnation()) {
		if r := t.records[d]; r.failures() == 1 {
			t.remove(d)
		} else {
			t.put(d, r.without(x.GetIncarnation()))
		}
	}
}

// lostRecordsOf returns the requests under which an incarnation was lost whose end is not known.
func (t *Tracker) lostRecordsOf(incarnation string) []masticview.Digest {
	out := slices.Collect(maps.Keys(t.index.lostRecords[incarnation]))
	t.visited += len(out)
	return out
}

// add adds a failed incarnation to the record of d. Of the numbers of ends that reports state, the
// smallest counts.
func (t *Tracker) add(now time.Time, d masticview.Digest, x *masticproto.EndedServer, quarantineAfter int) {
	quarantineAfter = max(quarantineAfter, DefaultQuarantineAfter)
	r, ok := t.records[d]
	if !ok || quarantineAfter < r.quarantineAfter {
		r.quarantineAfter = quarantineAfter
	}
	if !r.contains(x.GetIncarnation()) {
		r = r.withFailure(x.GetIncarnation(), x.GetLost())
		r.expiresUnixMs = now.Add(t.recordTTL).UnixMilli()
	}
	t.put(d, r)
}

// toQuarantine returns the digests of the given ones under which enough incarnations have ended, in
// ascending order.
func (t *Tracker) toQuarantine(of map[masticview.Digest]bool) []masticview.Digest {
	var out []masticview.Digest
	for d := range of {
		r, ok := t.records[d]
		if ok && len(r.incarnations) >= r.quarantineAfter && t.servers.ranOnHalf(r) || t.parts[d].quarantined() {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b masticview.Digest) int { return bytes.Compare(a[:], b[:]) })
	return out
}

// evictExcess removes the oldest failed servers, down to maxFailedServers, excess records of parts, and the
// records of requests that expire first, down to maxRecords.
func (t *Tracker) evictExcess(now time.Time) {
	for len(t.servers) > maxFailedServers {
		x := t.servers[0]
		t.clearLost(now, x)
		t.servers.remove(x)
	}
	t.evictParts()
	t.evictTrials()
	for len(t.records) > t.maxRecords {
		d, ok := t.recordExpiry.takeFirst(t.recordExpiresAt, &t.visited)
		if !ok {
			return
		}
		t.remove(d)
	}
}

// Forget removes the record of a request that completed.
func (t *Tracker) Forget(d masticview.Digest) { t.remove(d) }

// Clear removes the records of requests and parts whose quarantine an operator has ended.
func (t *Tracker) Clear(digests [][]byte) {
	for _, d := range digestsOf(digests) {
		t.remove(d)
		for _, o := range t.representedBy(d) {
			t.removePart(o)
		}
		t.removePart(d)
	}
}

// Expire removes expired records and holds, and clears servers that are lost for too long.
func (t *Tracker) Expire(now time.Time) {
	for _, x := range t.servers.expire(now) {
		t.clearLost(now, x)
	}
	t.expireParts(now)
	t.completed.expire(now, &t.visited)
	t.expireRecords(now)
	t.expireHolds(now)
}

func (t *Tracker) sortedDigests() []masticview.Digest {
	out := make([]masticview.Digest, 0, len(t.records))
	for d := range t.records {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b masticview.Digest) int { return bytes.Compare(a[:], b[:]) })
	return out
}
