package masticagent

import (
	"context"
	"errors"
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticwire"
)

const (
	// searchDelay is the time without an answer of the presumed leader after which the other control hosts are asked for the
	// leader. An operator's call lasts 0.9 s at a control host, and each host waited that long for a leader that had frozen.
	searchDelay = 250 * time.Millisecond
	// searchTimeout bounds the question to one host.
	searchTimeout = 150 * time.Millisecond
	// searchPause is the time between two rounds, since an election may be under way.
	searchPause = 100 * time.Millisecond
)

// leaderSearch looks for another leader while a call waits for the presumed one. If it finds one, the attempts at the others end
// and are repeated there. A leader that is only slow gets no second copy of a call.
type leaderSearch struct {
	client  *leaderClient
	context context.Context
}

// callSearching is call with a search for the leader.
func (l *leaderClient) callSearching(ctx context.Context, q *masticproto.PeerRequest, attemptTimeout time.Duration) (leaderAnswer, error) {
	searching, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &leaderSearch{client: l, context: searching}
	timer := time.AfterFunc(searchDelay, s.run)
	defer timer.Stop()
	return l.call(ctx, q, attemptTimeout)
}

// run asks the control hosts in turn until one answers as leader or the call ends.
func (s *leaderSearch) run() {
	for s.context.Err() == nil {
		for _, address := range s.client.peers() {
			if s.asks(address) {
				return
			}
		}
		sleep(s.context, searchPause)
	}
}

// asks reports whether the host at address, or the one that it names, leads. The presumed leader is not asked.
func (s *leaderSearch) asks(address string) bool {
	presumed, _ := s.client.target()
	if address == presumed || s.context.Err() != nil {
		return false
	}
	named, leads := s.ask(address)
	if !leads && named != "" && named != presumed && named != address {
		address = named
		_, leads = s.ask(named)
	}
	if leads {
		s.client.confirmLeader(address)
	}
	return leads
}

// ask returns the leader that the host at address names, and whether it leads itself.
func (s *leaderSearch) ask(address string) (named string, leads bool) {
	q := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Status{Status: &masticproto.StatusRequest{}}}
	_, err := s.client.callHost(s.context, context.Background(), address, q, searchTimeout)
	var answered *masticwire.AnswerError
	if errors.As(err, &answered) && masticerror.KindOf(err) == masticerror.KindNotLeader {
		return answered.LeaderAddress, false
	}
	return "", err == nil
}
