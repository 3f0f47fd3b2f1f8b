package masticagent

import (
	"context"
	"sync"
	"time"

	"masticladder/masticclock"
	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// holdEndTimeout is how long the end of a hold is retried; after that the hold ends at its deadline.
	holdEndTimeout = 10 * time.Second
	// ownSuspectTTL is how long a suspect reported by this host counts without confirmation by the
	// control group.
	ownSuspectTTL = 5 * time.Second
)

// suspects implements masticcall.SuspectReporter and masticcall.Holds. It holds the digests of
// requests that may crash a backend server, from the control group and from this host's own
// reports.
type suspects struct {
	agent *Agent

	mutex              sync.Mutex
	currentFingerprint uint64
	fromControl        map[masticview.Digest]bool
	local              map[masticview.Digest]time.Time
}

func newSuspects(a *Agent) *suspects {
	return &suspects{agent: a, fromControl: map[masticview.Digest]bool{}, local: map[masticview.Digest]time.Time{}}
}

// Report records and reports the requests that ran on a backend server when its incarnation ended.
func (s *suspects) Report(server, serverIncarnation string, digests []masticview.Digest) {
	until := masticclock.Now().Add(ownSuspectTTL)
	s.mutex.Lock()
	for _, d := range digests {
		s.local[d] = until
	}
	s.mutex.Unlock()
	s.notify()
	s.agent.reporter.Report(server, serverIncarnation, digests)
}

// Suspected reports whether the request with digest d may crash a backend server.
func (s *suspects) Suspected(d masticview.Digest) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fromControl[d] || masticclock.Now().Before(s.local[d])
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
	out := make([]masticview.Digest, 0, len(s.fromControl)+len(s.local))
	for d := range s.fromControl {
		out = append(out, d)
	}
	for d, until := range s.local {
		switch {
		case !now.Before(until):
			delete(s.local, d)
		case !s.fromControl[d]:
			out = append(out, d)
		}
	}
	return out
}

// Hold requests the right to run a suspect on a backend server from the control group. Pending
// reports of this host are sent first, so that the control group knows the suspect.
func (s *suspects) Hold(ctx context.Context, d masticview.Digest, server string, deadline time.Time) (bool, error) {
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
