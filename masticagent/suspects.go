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
	// endSpan is for how long the end of a hold is sent again; after that the hold ends by its deadline.
	endSpan = 10 * time.Second
	// ownSpan is for how long a suspect of this host counts before control has told of it.
	ownSpan = 5 * time.Second
)

// suspects implements masticcall.Suspects and masticcall.Holds: it knows the requests that
// may end a backend server, from control and from what this host itself saw.
type suspects struct {
	agent *Agent

	mutex sync.Mutex
	print uint64
	known map[masticview.Digest]bool
	own   map[masticview.Digest]time.Time
}

func newSuspects(a *Agent) *suspects {
	return &suspects{agent: a, known: map[masticview.Digest]bool{}, own: map[masticview.Digest]time.Time{}}
}

// Report shares the requests that ran on a backend server when its incarnation ended.
func (s *suspects) Report(server, serverIncarnation string, digests []masticview.Digest) {
	until := masticclock.Now().Add(ownSpan)
	s.mutex.Lock()
	for _, d := range digests {
		s.own[d] = until
	}
	s.mutex.Unlock()
	s.tell()
	s.agent.reporter.Report(server, serverIncarnation, digests)
}

// Suspected reports whether d may end a backend server.
func (s *suspects) Suspected(d masticview.Digest) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.known[d] || masticclock.Now().Before(s.own[d])
}

func (s *suspects) fingerprint() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.print
}

// replace takes the set that control holds.
func (s *suspects) replace(set *masticproto.SuspectSet) {
	known := make(map[masticview.Digest]bool, len(set.GetDigests()))
	for _, b := range set.GetDigests() {
		if d, err := masticview.DigestFromBytes(b); err == nil {
			known[d] = true
		}
	}
	s.mutex.Lock()
	s.print, s.known = set.GetFingerprint(), known
	s.mutex.Unlock()
	s.tell()
}

// tell hands the present set to the host's other parts.
func (s *suspects) tell() {
	if s.agent.onSuspects != nil {
		s.agent.onSuspects(s.all(masticclock.Now()))
	}
}

func (s *suspects) all(now time.Time) []masticview.Digest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	out := make([]masticview.Digest, 0, len(s.known)+len(s.own))
	for d := range s.known {
		out = append(out, d)
	}
	for d, until := range s.own {
		switch {
		case !now.Before(until):
			delete(s.own, d)
		case !s.known[d]:
			out = append(out, d)
		}
	}
	return out
}

// Hold asks control for the right to run a suspect on a backend server. What this host has
// to report is reported first, so that control knows the suspect.
func (s *suspects) Hold(ctx context.Context, d masticview.Digest, server string, deadline time.Time) (bool, error) {
	if err := s.agent.reporter.sendSuspects(ctx); err != nil {
		return false, err
	}
	answer, err := s.agent.command(ctx, &masticproto.Command{Kind: &masticproto.Command_SuspectHold{SuspectHold: &masticproto.SuspectHold{
		Digest:         d[:],
		Server:         server,
		Host:           s.agent.host,
		Incarnation:    s.agent.incarnation,
		DeadlineUnixMs: deadline.UnixMilli(),
	}}}, s.agent.attempt)
	return answer.GetDone(), err
}

// End ends a hold in the background, so that no answer waits for control.
func (s *suspects) End(d masticview.Digest, server string, completed bool) {
	s.agent.finisher.add(finishing{
		command: &masticproto.Command{Kind: &masticproto.Command_SuspectEnd{SuspectEnd: &masticproto.SuspectEnd{
			Digest:      d[:],
			Server:      server,
			Host:        s.agent.host,
			Incarnation: s.agent.incarnation,
			Completed:   completed,
		}}},
		deadline: masticclock.Now().Add(endSpan),
	})
}
