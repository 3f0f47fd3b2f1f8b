package masticsuspect

import (
	"iter"
	"maps"
	"slices"
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// MaxPartRecords bounds the number of recorded parts. Those with the fewest rounds of failures, and then with the fewest
// failures, are evicted first, so that made-up parts do not evict one that keeps ending servers.
const MaxPartRecords = 4096

// suspicion returns how a request with the given parts may run.
func (t *Tracker) suspicion(parts []masticview.Digest) suspicion {
	most := notSuspected
	for _, d := range parts {
		most = max(most, t.parts[d].suspicion())
	}
	return most
}

// HasSuspectParts reports whether parts are recorded; few of them are no suspects.
func (t *Tracker) HasSuspectParts() bool { return len(t.parts) > 0 }

// SuspectParts returns those of the given parts that are suspects.
func (t *Tracker) SuspectParts(parts []masticview.Digest) []masticview.Digest {
	var out []masticview.Digest
	for _, d := range parts {
		if t.parts[d].suspicion() != notSuspected {
			out = append(out, d)
		}
	}
	return out
}

// PartQuarantine returns the quarantine of a part. It ends when the part may be tried again.
func (t *Tracker) PartQuarantine(d masticview.Digest) (masticview.Quarantine, bool) {
	p, ok := t.parts[d]
	if !ok || !p.quarantined() {
		return masticview.Quarantine{}, false
	}
	q := masticview.Quarantine{Digest: d, Until: time.UnixMilli(p.nextTrialAt), Company: t.trials.company(d, p)}
	for _, f := range p.failures {
		if !f.lost {
			q.Servers = append(q.Servers, displayName(f.incarnation))
			q.DecidedAt = time.UnixMilli(f.failedAt)
		}
	}
	if n := len(q.Servers); n > roundsToQuarantine {
		q.Servers = q.Servers[n-roundsToQuarantine:]
	}
	return q, true
}

// Refuses reports whether the request of a hold has a part for which it is refused, and until when.
func (t *Tracker) Refuses(now time.Time, h *masticproto.SuspectHold) (until time.Time, refused bool) {
	return t.RefusesParts(now, digestsOf(h.GetParts()))
}

// RefusesParts reports whether a request with the given parts is refused, and until when.
func (t *Tracker) RefusesParts(now time.Time, parts []masticview.Digest) (until time.Time, refused bool) {
	var set map[masticview.Digest]bool
	for _, d := range parts {
		p := t.parts[d]
		if !p.refuses(now) {
			continue
		}
		if set == nil {
			set = setOf(parts)
		}
		if t.trials.allIn(p, set) {
			return time.UnixMilli(p.nextTrialAt), true
		}
	}
	return time.Time{}, false
}

// TakeCleared returns the parts whose quarantine ended early since the last call, as a request completed or
// a trial counts no more, in ascending order.
func (t *Tracker) TakeCleared() []masticview.Digest {
	out := slices.Compact(slices.SortedFunc(slices.Values(t.cleared), masticview.Digest.Compare))
	t.cleared = nil
	return slices.DeleteFunc(out, func(d masticview.Digest) bool { return t.parts[d].quarantined() })
}

// putPart adds or replaces the record of a part.
func (t *Tracker) putPart(now time.Time, d masticview.Digest, p part) {
	before := t.parts[d]
	p = p.withSchedule(now, before)
	p.expiresUnixMs = max(p.nextTrialAt, now.UnixMilli()) + t.recordTTL.Milliseconds()
	t.setPart(d, p)
	if before.quarantined() && !p.quarantined() {
		t.cleared = append(t.cleared, d)
	}
}

// setPart adds or replaces the record of a part as it is. Like removePart, it updates the fingerprint and the index.
func (t *Tracker) setPart(d masticview.Digest, p part) {
	before, ok := t.parts[d]
	t.parts[d] = p
	t.index.replacePart(d, before, p)
	if suspected := p.suspicion() != notSuspected; suspected != (before.suspicion() != notSuspected) {
		t.toggle(d, suspected)
	}
	if !ok || p.expiresUnixMs < before.expiresUnixMs {
		t.partExpiry.add(p.expiresUnixMs, d)
		t.partExpiry.compact(len(t.parts), t.partExpiries())
	}
}

func (t *Tracker) removePart(d masticview.Digest) {
	p, ok := t.parts[d]
	if !ok {
		return
	}
	if p.suspicion() != notSuspected {
		t.toggle(d, false)
	}
	t.index.replacePart(d, p, part{})
	delete(t.parts, d)
}

// partExpiresAt returns when the record of a part expires, and false if there is none.
func (t *Tracker) partExpiresAt(d masticview.Digest) (int64, bool) {
	p, ok := t.parts[d]
	return p.expiresUnixMs, ok
}

func (t *Tracker) partExpiries() iter.Seq2[masticview.Digest, int64] {
	return func(yield func(masticview.Digest, int64) bool) {
		for d, p := range t.parts {
			if !yield(d, p.expiresUnixMs) {
				return
			}
		}
	}
}

// CompleteParts applies that a request with the given parts completed at the given time.
func (t *Tracker) CompleteParts(now, at time.Time, parts []masticview.Digest) {
	for _, d := range parts {
		if p, ok := t.parts[d]; ok {
			t.putPart(now, d, p.withCompletion(at.UnixMilli()))
		}
	}
}

// partReport is what a report says of parts.
type partReport struct {
	server  string
	digests []masticview.Digest
	indices map[masticview.Digest]int
	// completedAt is when a request with each part last completed for the host, zero if that is not known.
	completedAt []int64
	// requests are the indices of the parts of each request.
	requests []*masticproto.PartIndices
}

func newPartReport(now time.Time, r *masticproto.SuspectReport) (partReport, error) {
	out := partReport{server: r.GetServer(), requests: r.GetRequestParts(), indices: make(map[masticview.Digest]int, len(r.GetParts()))}
	for _, x := range r.GetParts() {
		d, err := masticview.DigestFromBytes(x.GetDigest())
		if err != nil {
			return partReport{}, err
		}
		at := int64(0)
		if x.CompletedAgeMs != nil {
			at = now.UnixMilli() - x.GetCompletedAgeMs()
		}
		out.indices[d] = len(out.digests)
		out.digests, out.completedAt = append(out.digests, d), append(out.completedAt, at)
	}
	return out, nil
}

// of returns the parts of request i.
func (r partReport) of(i int) []masticview.Digest {
	if i >= len(r.requests) {
		return nil
	}
	var out []masticview.Digest
	for _, n := range r.requests[i].GetIndices() {
		if int(n) < len(r.digests) {
			out = append(out, r.digests[n])
		}
	}
	return out
}

// applyCompletions applies the completions that r states.
func (t *Tracker) applyCompletions(now time.Time, r partReport) {
	for i, d := range r.digests {
		if p, ok := t.parts[d]; ok && r.completedAt[i] > p.completedAt {
			t.putPart(now, d, p.withCompletion(r.completedAt[i]))
		}
	}
}

// blameParts records that a server failed while it ran request i of r, which was sent at sentAt.
func (t *Tracker) blameParts(now time.Time, r partReport, i int, x *masticproto.EndedServer, sentAt int64, changed map[masticview.Digest]bool) {
	blamed := t.blamed(r, i, x, sentAt)
	if len(blamed) == 0 {
		return
	}
	tried := t.triedPartsOf(now, r.server)
	for _, d := range blamed {
		f := partFailure{incarnation: x.GetIncarnation(), sentAt: sentAt, failedAt: x.GetAtUnixMs(), trial: tried[d], lost: x.GetLost()}
		p, ok := t.parts[d]
		if !ok {
			p.completedAt = r.completed(d)
		}
		if p.completedAt >= f.failedAt {
			continue
		}
		t.putPart(now, d, p.withFailure(f))
		changed[d] = true
	}
}

// judgeTrials applies what the failure of x means for trials. Those on x name each other as company, since each
// may have the cause of another. A trial counts for nothing if its server also ran a request that had a suspect
// and had been sent before that was one, or if another server failed at that time without a trial.
func (t *Tracker) judgeTrials(now time.Time, x *masticproto.EndedServer, changed map[masticview.Digest]bool) {
	tried := t.triedOn(x.GetIncarnation())
	if len(tried) == 0 {
		t.disputeTrialsAround(now, x, changed)
		return
	}
	t.trials.put(x.GetIncarnation(), tried)
	t.trialsAdded = true
	disputed := t.ranOtherSuspect(x) || t.otherFailed(x)
	for _, d := range tried {
		if disputed {
			t.putPart(now, d, t.parts[d].withoutTrial(x.GetIncarnation()))
		}
		changed[d] = true
	}
}

// triedOn returns the parts that were tried on an incarnation, in ascending order.
func (t *Tracker) triedOn(incarnation string) []masticview.Digest {
	var out []masticview.Digest
	for d := range t.index.tried[incarnation] {
		t.visited++
		out = append(out, d)
	}
	slices.SortFunc(out, masticview.Digest.Compare)
	return out
}

// ranOtherSuspect reports whether x ran a request with a suspect, without a hold.
func (t *Tracker) ranOtherSuspect(x *masticproto.EndedServer) bool {
	for d := range t.index.shared[x.GetIncarnation()] {
		t.visited++
		if t.parts[d].withoutFailure(x.GetIncarnation()).suspicion() != notSuspected {
			return true
		}
	}
	return false
}

// otherFailed reports whether another server failed about the time of x without a trial, as those of a rack do.
func (t *Tracker) otherFailed(x *masticproto.EndedServer) bool {
	return slices.ContainsFunc(t.servers, func(y *masticproto.EndedServer) bool {
		return y != x && atOneTime(x.GetAtUnixMs(), y.GetAtUnixMs()) && len(t.triedOn(y.GetIncarnation())) == 0
	})
}

// disputeTrialsAround makes the trials that failed about the time of x count for nothing.
func (t *Tracker) disputeTrialsAround(now time.Time, x *masticproto.EndedServer, changed map[masticview.Digest]bool) {
	for _, d := range t.triedAround(x.GetAtUnixMs()) {
		p := t.parts[d]
		for _, f := range p.failures {
			if f.trial && atOneTime(f.failedAt, x.GetAtUnixMs()) {
				p = p.withoutTrial(f.incarnation)
				changed[d] = true
			}
		}
		if changed[d] {
			t.putPart(now, d, p)
		}
	}
	for d := range changed {
		t.visited++
		if p, ok := t.parts[d]; ok {
			t.putPart(now, d, p)
		}
	}
}

// triedAround returns the parts with a trial that may have failed at one time with a failure at unixMs.
func (t *Tracker) triedAround(unixMs int64) []masticview.Digest {
	var out []masticview.Digest
	for unit := settleUnit(unixMs) - 1; unit <= settleUnit(unixMs)+1; unit++ {
		for d := range t.index.triedAt[unit] {
			t.visited++
			out = append(out, d)
		}
	}
	return out
}

func atOneTime(a, b int64) bool { return max(a-b, b-a) < settleTime.Milliseconds() }

// completed returns when a request with part d last completed for the host of the report.
func (r partReport) completed(d masticview.Digest) int64 {
	return r.completedAt[r.indices[d]]
}

// blamed returns the parts of request i that may have ended x: those that were quarantined before, else those
// of which no request has completed a short time before, else those of which none has completed since the request
// was sent.
func (t *Tracker) blamed(r partReport, i int, x *masticproto.EndedServer, sentAt int64) []masticview.Digest {
	var quarantined, unproven, older []masticview.Digest
	for _, d := range r.of(i) {
		p := t.parts[d]
		p.completedAt = max(p.completedAt, r.completed(d))
		switch {
		case p.quarantined() && p.withoutFailure(x.GetIncarnation()).quarantined():
			quarantined = append(quarantined, d)
		case !p.provenAt(x.GetAtUnixMs()):
			unproven = append(unproven, d)
		}
		if p.completedAt < sentAt {
			older = append(older, d)
		}
	}
	switch {
	case len(quarantined) > 0:
		return quarantined
	case len(unproven) > 0:
		return unproven
	}
	return older
}

// confirmParts makes a lost incarnation an ended one in all records, and adds these to changed.
func (t *Tracker) confirmParts(now time.Time, incarnation string, changed map[masticview.Digest]bool) {
	for _, d := range t.lostPartsOf(incarnation) {
		t.putPart(now, d, t.parts[d].withEnd(incarnation))
		changed[d] = true
	}
}

// clearLostParts removes the failure of a lost incarnation, which has not ended, from all records.
func (t *Tracker) clearLostParts(now time.Time, incarnation string) {
	for _, d := range t.lostPartsOf(incarnation) {
		t.putPart(now, d, t.parts[d].withoutFailure(incarnation))
	}
}

// lostPartsOf returns the parts with the failure of an incarnation whose end is not known.
func (t *Tracker) lostPartsOf(incarnation string) []masticview.Digest {
	out := slices.Collect(maps.Keys(t.index.lostParts[incarnation]))
	t.visited += len(out)
	return out
}
