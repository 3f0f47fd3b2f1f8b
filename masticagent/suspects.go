package masticagent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"masticladder/masticclock"
	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// holdEndTimeout is how long the end of a hold is retried; after that the hold ends at its deadline.
	holdEndTimeout = 10 * time.Second
	// localRecordTTL is how long the ends that this host has seen count. The control group gets to
	// know of them within milliseconds, but a host may be cut off from it.
	localRecordTTL = time.Minute
	// maxLocalRecords bounds the requests whose ends this host remembers itself.
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
	local              map[masticview.Digest]localRecord
}

// localRecord is a request under which this host has seen backend servers end.
type localRecord struct {
	incarnations    []string
	quarantineAfter int
	expiresAt       time.Time
}

// quarantineAfterFor returns the number of ends at which a request is quarantined.
func (a *Agent) quarantineAfterFor(serverIncarnation string) int {
	if serverIncarnation == "" {
		return max(a.quarantineAfter, UnnamedQuarantineAfter)
	}
	return a.quarantineAfter
}

func newSuspects(a *Agent) *suspects {
	return &suspects{agent: a, fromControl: map[masticview.Digest]bool{}, local: map[masticview.Digest]localRecord{}}
}

// Report records and reports the requests that ran on a backend server when its incarnation ended.
func (s *suspects) Report(server, serverIncarnation string, digests []masticview.Digest) {
	now := masticclock.Now()
	s.mutex.Lock()
	for _, d := range digests {
		s.record(now, d, server, serverIncarnation)
	}
	s.mutex.Unlock()
	s.notify()
	s.agent.log.WithField("server", server).WithField("incarnation", serverIncarnation).WithField("requests", len(digests)).
		Warn("backend server ended under requests")
	s.agent.reporter.Report(server, serverIncarnation, digests)
}

// record adds an ended incarnation to the local record of d. With maxLocalRecords records that
// have not expired it adds none; the control group gets the report all the same.
func (s *suspects) record(now time.Time, d masticview.Digest, server, serverIncarnation string) {
	r, known := s.local[d]
	if !known && len(s.local) >= maxLocalRecords {
		s.expire(now)
		if len(s.local) >= maxLocalRecords {
			return
		}
	}
	// Each unnamed end counts. Requests with one content that run on one server at once can count its
	// end more than once.
	incarnation := server + "\x00" + serverIncarnation
	if serverIncarnation == "" || !slices.Contains(r.incarnations, incarnation) {
		r.incarnations = append(r.incarnations, incarnation)
	}
	r.quarantineAfter = s.agent.quarantineAfterFor(serverIncarnation)
	r.expiresAt = now.Add(localRecordTTL)
	s.local[d] = r
}

func (s *suspects) expire(now time.Time) {
	maps.DeleteFunc(s.local, func(_ masticview.Digest, r localRecord) bool { return !now.Before(r.expiresAt) })
}

// Suspected reports whether the request with digest d may crash a backend server: the control
// group or this host itself has counted so many ends that one more would quarantine it.
func (s *suspects) Suspected(d masticview.Digest) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fromControl[d] || s.locallySuspected(masticclock.Now(), s.local[d])
}

func (s *suspects) locallySuspected(now time.Time, r localRecord) bool {
	return now.Before(r.expiresAt) && len(r.incarnations) >= r.quarantineAfter-1
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
	s.expire(now)
	out := slices.Collect(maps.Keys(s.fromControl))
	for d, r := range s.local {
		if !s.fromControl[d] && s.locallySuspected(now, r) {
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
		delete(s.local, d)
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
