package masticagent

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticwire"
)

// leaderClient asks the control hosts and follows the leader. Requests through it
// must be safe to send twice.
type leaderClient struct {
	wire  *masticwire.Wire
	pause time.Duration

	mutex     sync.Mutex
	clients   map[string]*masticwire.Client
	addresses []string
	// founders are those that the host was started with, learned those that control named.
	founders []string
	learned  []string
	next     int
	leader   string
	attempts map[string]attempts
}

// attempts is the common end of the attempts at one host.
type attempts struct {
	ended context.Context
	end   context.CancelFunc
}

// asked is an answer with the address of the host that gave it.
type asked struct {
	answer  *masticproto.PeerAnswer
	address string
}

func newLeaderClient(w *masticwire.Wire, addresses []string, pause time.Duration) (*leaderClient, error) {
	l := &leaderClient{wire: w, pause: pause, clients: map[string]*masticwire.Client{}, attempts: map[string]attempts{}}
	for _, a := range addresses {
		if _, err := l.client(a); err != nil {
			return nil, err
		}
	}
	l.addresses = slices.Clone(addresses)
	l.founders = l.addresses
	return l, nil
}

// ask sends q to the leader until it answers or ctx ends. The error has kind
// noQuorum when no attempt was sent and outcomeUnknown when one may have arrived.
func (l *leaderClient) ask(ctx context.Context, q *masticproto.PeerRequest, attempt time.Duration) (asked, error) {
	unknown := false
	for {
		a, err := l.once(ctx, q, attempt)
		if err == nil || final(err) {
			return a, err
		}
		unknown = unknown || !masticerror.From(err).NotRun()
		if !l.sleep(ctx) {
			return asked{}, l.gaveUp(err, unknown)
		}
	}
}

// once sends q to the believed leader. After a failure the next call goes to another host.
func (l *leaderClient) once(ctx context.Context, q *masticproto.PeerRequest, attempt time.Duration) (asked, error) {
	address, replaced := l.pick()
	answer, err := l.attemptAt(ctx, replaced, address, q, attempt)
	if err == nil || final(err) {
		if masticerror.KindOf(err) != masticerror.KindOverloaded {
			l.confirm(address)
		}
		return asked{answer: answer, address: address}, err
	}
	l.follow(address, err)
	return asked{}, err
}

func (l *leaderClient) attemptAt(ctx, replaced context.Context, address string, q *masticproto.PeerRequest, bound time.Duration) (*masticproto.PeerAnswer, error) {
	c, err := l.client(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	stop := context.AfterFunc(replaced, cancel)
	defer stop()
	return c.Call(ctx, q)
}

// final reports whether another attempt cannot help.
func final(err error) bool {
	var answered *masticwire.AnswerError
	if !errors.As(err, &answered) {
		return masticerror.KindOf(err) == masticerror.KindBodyTooLarge
	}
	switch masticerror.KindOf(err) {
	case masticerror.KindNotLeader, masticerror.KindNoQuorum, masticerror.KindOutcomeUnknown,
		masticerror.KindDraining, masticerror.KindDeadline, masticerror.KindCancelled:
		return false
	default:
		return true
	}
}

func (l *leaderClient) gaveUp(err error, unknown bool) error {
	if unknown {
		return masticerror.Wrap(err, masticerror.KindOutcomeUnknown, "control did not say in time whether it took the request")
	}
	return masticerror.Wrap(err, masticerror.KindNoQuorum, "no leader of control was reached in time")
}

// leastAttempt is the time below which an attempt is not begun, because it would most
// likely end without an answer and leave the outcome unknown.
const leastAttempt = 10 * time.Millisecond

// sleep pauses with jitter and reports whether ctx leaves time for an attempt.
func (l *leaderClient) sleep(ctx context.Context) bool {
	t := time.NewTimer(l.pause/2 + rand.N(l.pause/2+1))
	defer t.Stop()
	select {
	case <-t.C:
		deadline, bounded := ctx.Deadline()
		return ctx.Err() == nil && (!bounded || masticclock.Until(deadline) > leastAttempt)
	case <-ctx.Done():
		return false
	}
}

// pick returns the believed leader, else the next control host, and a context that
// ends when another host is confirmed as leader.
func (l *leaderClient) pick() (string, context.Context) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	address := l.leader
	if address == "" {
		address = l.addresses[l.next%len(l.addresses)]
	}
	a, ok := l.attempts[address]
	if !ok {
		a.ended, a.end = context.WithCancel(context.Background())
		l.attempts[address] = a
	}
	return address, a.ended
}

// confirm records that the host at address answered as leader and ends the attempts at others.
func (l *leaderClient) confirm(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leader = address
	for other, a := range l.attempts {
		if other != address {
			a.end()
			delete(l.attempts, other)
		}
	}
}

// follow takes the leader that a refusal named, else goes on to the next host.
func (l *leaderClient) follow(address string, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leader != "" && l.leader != address {
		return
	}
	var answered *masticwire.AnswerError
	if errors.As(err, &answered) && answered.LeaderAddress != "" && answered.LeaderAddress != address {
		l.leader = answered.LeaderAddress
		return
	}
	l.leader = ""
	l.next++
}

func (l *leaderClient) client(address string) (*masticwire.Client, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c, ok := l.clients[address]; ok {
		return c, nil
	}
	c, err := l.wire.Client(address)
	if err != nil {
		return nil, err
	}
	l.clients[address] = c
	return c, nil
}

// learn takes the addresses of the members of control. They go before those that the host
// was started with, which stay for the case that all members it learned of are gone.
func (l *leaderClient) learn(members []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(members) == 0 || slices.Equal(members, l.learned) {
		return
	}
	l.learned = slices.Clone(members)
	addresses := slices.Clone(members)
	for _, a := range l.founders {
		if !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	l.addresses = addresses
}

// found replaces the addresses that the host was started with.
func (l *leaderClient) found(founders []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, a := range founders {
		if !slices.Contains(l.addresses, a) {
			l.addresses = append(l.addresses, a)
		}
	}
	l.founders = slices.Clone(founders)
}

// peers returns the addresses of the control hosts, those learned first.
func (l *leaderClient) peers() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.addresses)
}

func (l *leaderClient) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, a := range l.attempts {
		a.end()
	}
	for _, c := range l.clients {
		c.Close()
	}
}
