package masticsuspect

import (
	"bytes"
	"iter"
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// settleTime is the time without a failure of any server after which parts are tried. Servers of a rack end
// one after the other, and a trial among them would say nothing of the part.
const settleTime = 250 * time.Millisecond

// MaxHoldTTL bounds the duration of a hold.
const MaxHoldTTL = 30 * time.Minute

// HoldOutcome is the answer to a request for a hold.
type HoldOutcome int

// The outcomes of AcquireHold.
const (
	// HoldGranted means that the request may run on the backend server.
	HoldGranted HoldOutcome = iota
	// HoldServerBusy means that another suspect has the server.
	HoldServerBusy
	// HoldPartBusy means that another request with a suspected part runs, or that it is not known yet what
	// became of its server.
	HoldPartBusy
	// HoldUndecided means that the request would be quarantined if the servers that are lost under it,
	// or the one on which a copy of it runs, had ended.
	HoldUndecided
	// HoldQuarantined means that a part of the request is quarantined.
	HoldQuarantined
)

// AcquireHold acquires the hold of a backend server until the hold's deadline, at most MaxHoldTTL
// from now. Acquiring the same hold again succeeds. A request that is not a suspect needs no hold:
// AcquireHold then returns HoldGranted and records none.
func (t *Tracker) AcquireHold(now time.Time, h *masticproto.SuspectHold) HoldOutcome {
	d, err := masticview.DigestFromBytes(h.GetDigest())
	if err != nil || h.GetDeadlineUnixMs() <= now.UnixMilli() {
		return HoldServerBusy
	}
	parts := digestsOf(h.GetParts())
	suspected := t.SuspectParts(parts)
	if !t.suspectRequest(d) && len(suspected) == 0 {
		return HoldGranted
	}
	exclusive := t.suspectRequest(d) || t.suspicion(parts) == alone
	switch {
	case t.holdsAlready(now, h):
		return HoldGranted
	case t.serverBusy(now, h.GetServer(), exclusive):
		return HoldServerBusy
	case t.suspectRequest(d) && t.undecided(now, d):
		return HoldUndecided
	}
	if o := t.partsOutcome(now, parts, suspected); o != HoldGranted {
		return o
	}
	t.grant(now, h, exclusive)
	return HoldGranted
}

// Grant records a hold that was granted elsewhere.
func (t *Tracker) Grant(now time.Time, h *masticproto.SuspectHold) { t.grant(now, h, true) }

func (t *Tracker) grant(now time.Time, h *masticproto.SuspectHold, exclusive bool) {
	t.putHold(&masticproto.SuspectHold{
		Digest: h.GetDigest(), Server: h.GetServer(), Host: h.GetHost(), Incarnation: h.GetIncarnation(),
		DeadlineUnixMs: min(h.GetDeadlineUnixMs(), now.Add(MaxHoldTTL).UnixMilli()),
		Parts:          h.GetParts(), Exclusive: exclusive,
	})
}

// putHold adds or replaces a hold.
func (t *Tracker) putHold(h *masticproto.SuspectHold) {
	name := holdName(h.GetServer(), h.GetDigest())
	t.removeHold(name)
	t.holds[name] = h
	t.index.addHold(name, h)
	t.holdExpiry.add(h.GetDeadlineUnixMs(), name)
	t.holdExpiry.compact(len(t.holds), t.holdDeadlines())
}

func (t *Tracker) removeHold(name string) {
	if h, ok := t.holds[name]; ok {
		t.index.removeHold(name, h)
		delete(t.holds, name)
	}
}

// holdDeadline returns the deadline of a hold, and false if there is none of that name.
func (t *Tracker) holdDeadline(name string) (int64, bool) {
	h, ok := t.holds[name]
	return h.GetDeadlineUnixMs(), ok
}

func (t *Tracker) holdDeadlines() iter.Seq2[string, int64] {
	return func(yield func(string, int64) bool) {
		for name, h := range t.holds {
			if !yield(name, h.GetDeadlineUnixMs()) {
				return
			}
		}
	}
}

// expireHolds removes the holds whose deadline has passed.
func (t *Tracker) expireHolds(now time.Time) {
	for {
		name, ok := t.holdExpiry.takeDue(now.UnixMilli(), t.holdDeadline, &t.visited)
		if !ok {
			return
		}
		t.removeHold(name)
	}
}

// triedPartsOf returns the parts with which requests run on the server as trials.
func (t *Tracker) triedPartsOf(now time.Time, server string) map[masticview.Digest]bool {
	out := map[masticview.Digest]bool{}
	for name := range t.index.holdsOn[server] {
		t.visited++
		h := t.holds[name]
		if h.GetDeadlineUnixMs() <= now.UnixMilli() {
			continue
		}
		for _, d := range digestsOf(h.GetParts()) {
			out[d] = true
		}
	}
	return out
}

// holdsAlready reports whether h was granted before and has not ended.
func (t *Tracker) holdsAlready(now time.Time, h *masticproto.SuspectHold) bool {
	old := t.holds[holdName(h.GetServer(), h.GetDigest())]
	return sameHold(old, h) && old.GetDeadlineUnixMs() > now.UnixMilli()
}

// holdName returns the key of a hold in Tracker.holds.
func holdName(server string, digest []byte) string { return server + nameSeparator + string(digest) }

// digestsOf returns the digests in b, without those that are malformed.
func digestsOf(b [][]byte) []masticview.Digest {
	var out []masticview.Digest
	for _, x := range b {
		if d, err := masticview.DigestFromBytes(x); err == nil {
			out = append(out, d)
		}
	}
	return out
}

// serverBusy reports whether a suspect has the server that rules out another one. Trials of parts that
// failed once may share a server.
func (t *Tracker) serverBusy(now time.Time, server string, exclusive bool) bool {
	for name := range t.index.holdsOn[server] {
		t.visited++
		h := t.holds[name]
		// Holds of earlier versions have no parts and are exclusive.
		if h.GetDeadlineUnixMs() > now.UnixMilli() && (exclusive || h.GetExclusive() || len(h.GetParts()) == 0) {
			return true
		}
	}
	return false
}

// partsOutcome returns whether a request with the given parts, of which some are suspects, may run now.
func (t *Tracker) partsOutcome(now time.Time, parts, suspected []masticview.Digest) HoldOutcome {
	if _, refused := t.RefusesParts(now, parts); refused {
		return HoldQuarantined
	}
	for _, d := range suspected {
		if t.parts[d].undecided() {
			return HoldPartBusy
		}
	}
	if len(suspected) > 0 && now.Before(t.servers.lastFailure().Add(settleTime)) {
		return HoldPartBusy
	}
	if t.anyTried(now, suspected) {
		return HoldPartBusy
	}
	return HoldGranted
}

// anyTried reports whether a request with one of the parts runs under a hold.
func (t *Tracker) anyTried(now time.Time, parts []masticview.Digest) bool {
	for _, d := range parts {
		for name := range t.index.holdsWith[d] {
			t.visited++
			if t.holds[name].GetDeadlineUnixMs() > now.UnixMilli() {
				return true
			}
		}
	}
	return false
}

// undecided reports whether d would be quarantined if the servers that are lost under it, and those on
// which it runs under a hold, had ended.
func (t *Tracker) undecided(now time.Time, d masticview.Digest) bool {
	r := t.records[d]
	open := len(r.lost)
	for name := range t.index.holdsOf[string(d[:])] {
		t.visited++
		if t.holds[name].GetDeadlineUnixMs() > now.UnixMilli() {
			open++
		}
	}
	return open > 0 && len(r.incarnations)+open >= r.quarantineAfter && t.servers.ranOnHalf(r)
}

func sameHold(a, b *masticproto.SuspectHold) bool {
	return a != nil && bytes.Equal(a.GetDigest(), b.GetDigest()) && a.GetHost() == b.GetHost() && a.GetIncarnation() == b.GetIncarnation()
}

// ReleaseHold releases the hold of a suspect. A request that completed is no longer recorded, and speaks for
// its parts. It returns the parts to quarantine again, since their trial did not complete.
func (t *Tracker) ReleaseHold(now time.Time, e *masticproto.SuspectEnd) []masticview.Digest {
	name := holdName(e.GetServer(), e.GetDigest())
	h := t.holds[name]
	if !sameHold(h, &masticproto.SuspectHold{Digest: e.GetDigest(), Host: e.GetHost(), Incarnation: e.GetIncarnation()}) {
		return nil
	}
	t.removeHold(name)
	if !e.GetCompleted() {
		return t.postponeTrials(now, digestsOf(h.GetParts()))
	}
	if d, err := masticview.DigestFromBytes(e.GetDigest()); err == nil {
		t.remove(d)
		t.completed.add(now, d, &t.visited)
	}
	t.CompleteParts(now, now, digestsOf(h.GetParts()))
	return nil
}

// postponeTrials postpones the next trials of quarantined parts of which one did not complete, whatever
// became of its server. It returns these parts.
func (t *Tracker) postponeTrials(now time.Time, parts []masticview.Digest) []masticview.Digest {
	var out []masticview.Digest
	for _, d := range parts {
		if p := t.parts[d]; p.quarantined() && p.nextTrialAt <= now.UnixMilli() {
			p.nextTrialAt = now.Add(trialDelays[0]).UnixMilli()
			t.putPart(now, d, p)
			out = append(out, d)
		}
	}
	return out
}
