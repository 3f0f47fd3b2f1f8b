package masticsuspect

import (
	"bytes"
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

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
	// HoldUndecided means that the request would be quarantined if the servers that are lost under it,
	// or the one on which a copy of it runs, had ended.
	HoldUndecided
)

// AcquireHold acquires the hold of a backend server until the hold's deadline, at most MaxHoldTTL
// from now. Acquiring the same hold again succeeds. A request that is not a suspect needs no hold:
// AcquireHold then returns HoldGranted and records none.
func (t *Tracker) AcquireHold(now time.Time, h *masticproto.SuspectHold) HoldOutcome {
	d, err := masticview.DigestFromBytes(h.GetDigest())
	if err != nil || h.GetDeadlineUnixMs() <= now.UnixMilli() {
		return HoldServerBusy
	}
	if !t.Suspect(d) {
		return HoldGranted
	}
	if old, ok := t.holds[h.GetServer()]; ok && old.GetDeadlineUnixMs() > now.UnixMilli() {
		if sameHold(old, h) {
			return HoldGranted
		}
		return HoldServerBusy
	}
	if t.undecided(now, d) {
		return HoldUndecided
	}
	hold := &masticproto.SuspectHold{
		Digest: h.GetDigest(), Server: h.GetServer(), Host: h.GetHost(), Incarnation: h.GetIncarnation(),
		DeadlineUnixMs: min(h.GetDeadlineUnixMs(), now.Add(MaxHoldTTL).UnixMilli()),
	}
	t.holds[h.GetServer()] = hold
	return HoldGranted
}

// undecided reports whether d would be quarantined if the servers that are lost under it, and those on
// which it runs under a hold, had ended.
func (t *Tracker) undecided(now time.Time, d masticview.Digest) bool {
	r := t.records[d]
	open := len(r.lost)
	for _, h := range t.holds {
		if bytes.Equal(h.GetDigest(), d[:]) && h.GetDeadlineUnixMs() > now.UnixMilli() {
			open++
		}
	}
	return open > 0 && len(r.incarnations)+open >= r.quarantineAfter && t.servers.ranOnHalf(r)
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
