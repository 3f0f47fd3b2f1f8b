package masticagent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticsuspect"
	"masticladder/masticview"
)

const (
	// holdEndTimeout is how long the end of a hold is retried; after that the hold ends at its deadline.
	holdEndTimeout = 10 * time.Second
	// localRecordTTL is how long the failures that this host has seen count. The control group gets to
	// know of them within milliseconds, but a host may be cut off from it.
	localRecordTTL = time.Minute
	// localExpireInterval is the time between two searches for expired records.
	localExpireInterval = time.Second
	// maxLocalRecords bounds the requests whose failures this host remembers itself.
	maxLocalRecords = 4096
)

// suspects implements masticcall.SuspectReporter and masticcall.Holds. It holds the digests of
// requests that may crash a backend server, from the control group and from this host's own
// reports.
type suspects struct {
	agent *Agent

	mutex              sync.Mutex
	currentFingerprint uint64
	// fromControl holds the suspects of the control group, with false for those that completed for this host.
	fromControl map[masticview.Digest]bool
	// local counts what this host has reported. It is next searched for expired records at expireAt.
	local    *masticsuspect.Tracker
	expireAt time.Time
	turns    turns
}

// quarantineAfterFor returns the number of ends at which a request is quarantined.
func (a *Agent) quarantineAfterFor(serverIncarnation string) int {
	if serverIncarnation == "" {
		return max(a.quarantineAfter, UnnamedQuarantineAfter)
	}
	return a.quarantineAfter
}

func newSuspects(a *Agent) *suspects {
	return &suspects{
		agent: a, fromControl: map[masticview.Digest]bool{},
		local: masticsuspect.New(masticsuspect.WithMaxRecords(maxLocalRecords), masticsuspect.WithRecordTTL(localRecordTTL), masticsuspect.WithKeptChanges(0)),
		turns: newTurns(),
	}
}

// Report records the verdict on a backend server and reports it to the control group.
func (s *suspects) Report(r masticcall.ServerReport) {
	now := masticclock.Now()
	r.ID = rand.Uint64()
	report := s.agent.suspectReport(now, r)
	s.mutex.Lock()
	_, err := s.local.Report(now, report)
	s.local.TakeCleared()
	if r.Verdict == masticcall.VerdictCompleted {
		for _, q := range r.Requests {
			if s.fromControl[q.Content.Digest] {
				s.fromControl[q.Content.Digest] = false
			}
		}
	}
	s.mutex.Unlock()
	if r.Verdict == masticcall.VerdictCompleted && len(r.Requests) == 0 && !s.reportsCompletion() {
		return
	}
	s.notify()
	s.agent.log.WithField("server", r.Server).WithField("incarnation", r.Incarnation).WithField("verdict", r.Verdict.String()).
		WithField("requests", len(r.Requests)).WithField("parts", len(report.GetParts())).WithField("partsLeftOut", leftOut(r, report)).WithField("completedParts", len(r.CompletedParts)).WithField("sinceMillis", now.Sub(r.FailedAt).Milliseconds()).WithField("cause", err).
		Warn("backend server failed under requests")
	s.agent.reporter.Report(r)
}

// Suspected reports whether the request with content c may crash a backend server: the control
// group or this host itself has counted so many failures, of the whole content or of a part of it.
func (s *suspects) Suspected(c masticcall.Content) bool {
	now := masticclock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !now.Before(s.expireAt) {
		s.local.Expire(now)
		s.expireAt = now.Add(localExpireInterval)
	}
	return s.suspects(c.Digest) || len(s.suspectedParts(c)) > 0
}

// suspects reports whether the request, or the part, with digest d is a suspect. The mutex is held.
func (s *suspects) suspects(d masticview.Digest) bool { return s.fromControl[d] || s.local.Suspect(d) }

// isSuspected returns those of the given parts that are suspects.
func (s *suspects) isSuspected(parts []masticview.Digest) []masticview.Digest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.suspectedParts(masticcall.Content{Parts: parts})
}

// suspectedParts returns the parts of c that are suspects. The mutex is held.
func (s *suspects) suspectedParts(c masticcall.Content) []masticview.Digest {
	if len(s.fromControl) == 0 && !s.local.HasSuspectParts() {
		return nil
	}
	var out []masticview.Digest
	for _, p := range c.Parts {
		if s.suspects(p) {
			out = append(out, p)
		}
	}
	return out
}

func (s *suspects) fingerprint() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.currentFingerprint
}

// update applies set to the suspects of the control group. A difference that does not lead to the set which it states is not
// applied: the next renewal brings what this host lacks.
func (s *suspects) update(set *masticproto.SuspectSet) {
	if !set.GetDifference() {
		s.replace(set)
		return
	}
	s.mutex.Lock()
	applied := s.applyDifference(set)
	s.mutex.Unlock()
	if applied {
		s.notify()
	}
}

// applyDifference reports whether the difference was applied. The mutex is held.
func (s *suspects) applyDifference(set *masticproto.SuspectSet) bool {
	fingerprint := s.currentFingerprint
	var added, removed []masticview.Digest
	for _, b := range set.GetDigests() {
		d, err := masticview.DigestFromBytes(b)
		if err != nil {
			return false
		}
		added = append(added, d)
		if _, ok := s.fromControl[d]; !ok {
			fingerprint ^= masticsuspect.FingerprintOf(d)
		}
	}
	for _, b := range set.GetRemoved() {
		d, err := masticview.DigestFromBytes(b)
		if err != nil {
			return false
		}
		removed = append(removed, d)
		if _, ok := s.fromControl[d]; ok {
			fingerprint ^= masticsuspect.FingerprintOf(d)
		}
	}
	if fingerprint != set.GetFingerprint() {
		return false
	}
	for _, d := range added {
		s.fromControl[d] = true
	}
	for _, d := range removed {
		delete(s.fromControl, d)
	}
	s.currentFingerprint = fingerprint
	return true
}

// replace replaces the suspects of the control group by set.
func (s *suspects) replace(set *masticproto.SuspectSet) {
	fromControl := make(map[masticview.Digest]bool, len(set.GetDigests()))
	for _, b := range set.GetDigests() {
		if d, err := masticview.DigestFromBytes(b); err == nil {
			fromControl[d] = true
		}
	}
	s.mutex.Lock()
	s.currentFingerprint, s.fromControl = set.GetFingerprint(), fromControl
	s.mutex.Unlock()
	s.notify()
}

// notify calls onSuspects with the current set.
func (s *suspects) notify() {
	s.turns.notify()
	if s.agent.onSuspects != nil {
		s.agent.onSuspects(s.all(masticclock.Now()))
	}
}

func (s *suspects) all(now time.Time) []masticview.Digest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.local.Expire(now)
	var out []masticview.Digest
	for d, suspect := range s.fromControl {
		if suspect {
			out = append(out, d)
		}
	}
	for _, d := range s.local.Suspects() {
		if !s.fromControl[d] {
			out = append(out, d)
		}
	}
	return out
}

// Hold requests the right to run a suspect on a backend server from the control group. Pending
// reports of this host are sent first, so that the control group knows the suspect.
func (s *suspects) Hold(ctx context.Context, c masticcall.Content, server string, deadline time.Time) (masticcall.HoldOutcome, time.Duration, error) {
	h := s.newHold(c, server, deadline)
	outcome, err := s.requestHold(ctx, h)
	byItself := err != nil && masticerror.KindOf(err) != masticerror.KindQuarantined && s.mayDecide(c)
	if byItself {
		outcome, err = s.decide(h)
	} else if err == nil && outcome == masticcall.HoldGranted {
		s.recordGrant(h)
	}
	s.agent.log.WithField("content", c.Digest.Short()).WithField("parts", c.ShortParts()).WithField("server", server).
		WithField("outcome", int(outcome)).WithField("byItself", byItself).WithField("cause", err).Info("hold for a suspect requested")
	if err != nil {
		// The hold may have been granted all the same.
		s.endHold(c, server, false)
	}
	return outcome, s.partRetryInterval(), err
}

func (s *suspects) newHold(c masticcall.Content, server string, deadline time.Time) *masticproto.SuspectHold {
	h := &masticproto.SuspectHold{
		Digest:         c.Digest[:],
		Server:         server,
		Host:           s.agent.host,
		Incarnation:    s.agent.incarnation,
		DeadlineUnixMs: deadline.UnixMilli(),
	}
	for _, p := range s.heldParts(c) {
		h.Parts = append(h.Parts, p[:])
	}
	return h
}

// maxSmallContent is the number of parts up to which a hold states all of them.
const maxSmallContent = 64

// heldParts returns the parts of c that the hold of a server states: of many, those that are suspects or the company of one that is
// quarantined, since the control group has no record of the others.
func (s *suspects) heldParts(c masticcall.Content) []masticview.Digest {
	if len(c.Parts) <= maxSmallContent {
		return c.Parts
	}
	company := map[masticview.Digest]bool{}
	for _, q := range s.agent.views.view().Quarantines() {
		for _, d := range q.Company {
			company[d] = true
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(c.Parts), func(d masticview.Digest) bool { return !company[d] && !s.suspects(d) })
}

// recordGrant records a hold for the failures that this host counts itself.
func (s *suspects) recordGrant(h *masticproto.SuspectHold) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.local.Grant(masticclock.Now(), h)
}

func (s *suspects) requestHold(ctx context.Context, h *masticproto.SuspectHold) (masticcall.HoldOutcome, error) {
	if err := s.agent.reporter.sendSuspects(ctx); err != nil {
		return masticcall.HoldServerBusy, err
	}
	answer, err := s.agent.commit(ctx, &masticproto.Command{Kind: &masticproto.Command_SuspectHold{SuspectHold: h}}, s.agent.attemptTimeout)
	switch {
	case err != nil:
		return masticcall.HoldServerBusy, err
	case answer.GetDone():
		return masticcall.HoldGranted, nil
	case answer.GetBusy():
		return masticcall.HoldPartBusy, nil
	}
	return masticcall.HoldServerBusy, nil
}

// mayDecide reports whether this host decides by itself on a suspect while it does not reach the control
// group: only parts of c are suspects. A whole content that is one does not run without control.
func (s *suspects) mayDecide(c masticcall.Content) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.suspects(c.Digest)
}

// decide decides by the failures that this host has seen. The turn of the parts keeps other requests of this
// host from running beside.
func (s *suspects) decide(h *masticproto.SuspectHold) (masticcall.HoldOutcome, error) {
	now := masticclock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	until, _ := s.local.Refuses(now, h)
	switch s.local.AcquireHold(now, h) {
	case masticsuspect.HoldGranted:
		return masticcall.HoldGranted, nil
	case masticsuspect.HoldServerBusy:
		return masticcall.HoldServerBusy, nil
	case masticsuspect.HoldPartBusy:
		return masticcall.HoldPartBusy, nil
	}
	return masticcall.HoldServerBusy, masticerror.New(masticerror.KindQuarantined, "a part of the prompt ended backend servers of this host").
		WithRetryAfter(max(time.Second, until.Sub(now)))
}

// Release ends a hold in the background, so that the answer to the caller does not wait for the
// control group.
func (s *suspects) Release(c masticcall.Content, server string, completed bool) {
	s.endHold(c, server, completed)
	s.EndTurn(c)
}

func (s *suspects) endHold(c masticcall.Content, server string, completed bool) {
	now := masticclock.Now()
	end := &masticproto.SuspectEnd{
		Digest: c.Digest[:], Server: server, Host: s.agent.host, Incarnation: s.agent.incarnation, Completed: completed,
	}
	s.mutex.Lock()
	s.local.ReleaseHold(now, end)
	s.local.TakeCleared()
	s.mutex.Unlock()
	s.agent.commandRetrier.add(pendingCommand{
		command:  &masticproto.Command{Kind: &masticproto.Command_SuspectEnd{SuspectEnd: end}},
		deadline: now.Add(holdEndTimeout),
	})
}
