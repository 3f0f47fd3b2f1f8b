package masticagent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticclock"
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
	fromControl        map[masticview.Digest]bool
	// local counts what this host has reported. It is next searched for expired records at expireAt.
	local    *masticsuspect.Tracker
	expireAt time.Time
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
		local: masticsuspect.New(masticsuspect.WithMaxRecords(maxLocalRecords), masticsuspect.WithRecordTTL(localRecordTTL)),
	}
}

// Report records the verdict on a backend server and reports it to the control group.
func (s *suspects) Report(r masticcall.ServerReport) {
	now := masticclock.Now()
	s.mutex.Lock()
	_, err := s.local.Report(now, s.agent.suspectReport(now, r))
	if r.Verdict == masticcall.VerdictCompleted {
		for _, q := range r.Requests {
			delete(s.fromControl, q.Digest)
		}
	}
	s.mutex.Unlock()
	s.notify()
	s.agent.log.WithField("server", r.Server).WithField("incarnation", r.Incarnation).WithField("verdict", r.Verdict.String()).
		WithField("requests", len(r.Requests)).WithField("sinceMillis", now.Sub(r.FailedAt).Milliseconds()).WithField("cause", err).
		Warn("backend server failed under requests")
	s.agent.reporter.Report(r)
}

// Suspected reports whether the request with digest d may crash a backend server: the control
// group or this host itself has counted so many failures that one more would quarantine it.
func (s *suspects) Suspected(d masticview.Digest) bool {
	now := masticclock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !now.Before(s.expireAt) {
		s.local.Expire(now)
		s.expireAt = now.Add(localExpireInterval)
	}
	return s.fromControl[d] || s.local.Suspect(d)
}

func (s *suspects) fingerprint() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.currentFingerprint
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
	if s.agent.onSuspects != nil {
		s.agent.onSuspects(s.all(masticclock.Now()))
	}
}

func (s *suspects) all(now time.Time) []masticview.Digest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.local.Expire(now)
	out := slices.Collect(maps.Keys(s.fromControl))
	for _, d := range s.local.Suspects() {
		if !s.fromControl[d] {
			out = append(out, d)
		}
	}
	return out
}

// Hold requests the right to run a suspect on a backend server from the control group. Pending
// reports of this host are sent first, so that the control group knows the suspect.
func (s *suspects) Hold(ctx context.Context, d masticview.Digest, server string, deadline time.Time) (bool, error) {
	granted, err := s.requestHold(ctx, d, server, deadline)
	s.agent.log.WithField("content", d.Short()).WithField("server", server).WithField("granted", granted).
		WithField("cause", err).Info("hold for a suspect requested")
	return granted, err
}

func (s *suspects) requestHold(ctx context.Context, d masticview.Digest, server string, deadline time.Time) (bool, error) {
	if err := s.agent.reporter.sendSuspects(ctx); err != nil {
		return false, err
	}
	answer, err := s.agent.commit(ctx, &masticproto.Command{Kind: &masticproto.Command_SuspectHold{SuspectHold: &masticproto.SuspectHold{
		Digest:         d[:],
		Server:         server,
		Host:           s.agent.host,
		Incarnation:    s.agent.incarnation,
		DeadlineUnixMs: deadline.UnixMilli(),
	}}}, s.agent.attemptTimeout)
	return answer.GetDone(), err
}

// Release ends a hold in the background, so that the answer to the caller does not wait for the
// control group.
func (s *suspects) Release(d masticview.Digest, server string, completed bool) {
	if completed {
		s.mutex.Lock()
		s.local.Forget(d)
		s.mutex.Unlock()
	}
	s.agent.commandRetrier.add(pendingCommand{
		command: &masticproto.Command{Kind: &masticproto.Command_SuspectEnd{SuspectEnd: &masticproto.SuspectEnd{
			Digest:      d[:],
			Server:      server,
			Host:        s.agent.host,
			Incarnation: s.agent.incarnation,
			Completed:   completed,
		}}},
		deadline: masticclock.Now().Add(holdEndTimeout),
	})
}
