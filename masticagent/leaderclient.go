package masticagent

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticwire"
)

// leaderClient sends requests to the leader of the control group and finds the leader among the
// control hosts. Requests must be idempotent, since an attempt may be repeated.
type leaderClient struct {
	wire       *masticwire.Wire
	retryDelay time.Duration
	// connections provides the connections, if they are those of another client.
	connections *leaderClient

	mutex     sync.Mutex
	clients   map[string]*masticwire.Client
	addresses []string
	// addresses are members followed by seeds. seeds were configured, members were received from
	// the control group.
	seeds           []string
	members         []string
	nextAddress     int
	leader          string
	attemptContexts map[string]attemptContext
}

// attemptContext is cancelled to end all attempts at one host.
type attemptContext struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// leaderAnswer is an answer with the address of the host that sent it.
type leaderAnswer struct {
	answer  *masticproto.PeerAnswer
	address string
}

func newLeaderClient(w *masticwire.Wire, addresses []string, retryDelay time.Duration) (*leaderClient, error) {
	l := &leaderClient{wire: w, retryDelay: retryDelay, clients: map[string]*masticwire.Client{}, attemptContexts: map[string]attemptContext{}}
	for _, a := range addresses {
		if _, err := l.client(a); err != nil {
			return nil, err
		}
	}
	l.addresses = slices.Clone(addresses)
	l.seeds = l.addresses
	return l, nil
}

// newMemberClient returns a client for requests that any member of the control group takes. It uses the
// connections of l and begins at a member that depends on the host, so that hosts spread over the members.
func newMemberClient(l *leaderClient, host string) *leaderClient {
	return &leaderClient{
		wire: l.wire, retryDelay: l.retryDelay, connections: l, attemptContexts: map[string]attemptContext{},
		addresses: l.addresses, seeds: l.seeds, nextAddress: int(xxhash.Sum64String(host) >> 1),
	}
}

// moveOn makes the next request go to another member than the one at address.
func (l *leaderClient) moveOn(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leader == address {
		l.leader = ""
		l.nextAddress++
	}
}

// call sends q to the leader and retries until it answers or ctx ends. If ctx ends first, the
// error has kind outcomeUnknown if an attempt may have arrived, else noQuorum.
func (l *leaderClient) call(ctx context.Context, q *masticproto.PeerRequest, attemptTimeout time.Duration) (leaderAnswer, error) {
	mayHaveArrived := false
	for {
		a, err := l.callOnce(ctx, q, attemptTimeout)
		if err == nil || isFinal(err) {
			return a, err
		}
		mayHaveArrived = mayHaveArrived || !masticerror.From(err).NotRun()
		if !l.sleep(ctx) {
			return leaderAnswer{}, l.timeoutError(err, mayHaveArrived)
		}
	}
}

// callOnce sends q to the presumed leader. After a failure the next attempt goes to another host.
func (l *leaderClient) callOnce(ctx context.Context, q *masticproto.PeerRequest, attemptTimeout time.Duration) (leaderAnswer, error) {
	address, leaderChanged := l.target()
	answer, err := l.callHost(ctx, leaderChanged, address, q, attemptTimeout)
	if err == nil || isFinal(err) {
		if masticerror.KindOf(err) != masticerror.KindOverloaded {
			l.confirmLeader(address)
		}
		return leaderAnswer{answer: answer, address: address}, err
	}
	l.nextTarget(address, err)
	return leaderAnswer{}, err
}

func (l *leaderClient) callHost(ctx, leaderChanged context.Context, address string, q *masticproto.PeerRequest, timeout time.Duration) (*masticproto.PeerAnswer, error) {
	c, err := l.client(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stop := context.AfterFunc(leaderChanged, cancel)
	defer stop()
	return c.Call(ctx, q)
}

// isFinal reports whether a retry cannot succeed.
func isFinal(err error) bool {
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

func (l *leaderClient) timeoutError(err error, mayHaveArrived bool) error {
	if mayHaveArrived {
		return masticerror.Wrap(err, masticerror.KindOutcomeUnknown, "control did not say in time whether it took the request")
	}
	return masticerror.Wrap(err, masticerror.KindNoQuorum, "no leader of control was reached in time")
}

// minAttemptTimeout is the least remaining time in which an attempt is started. A shorter one
// would most likely time out and leave the outcome unknown.
const minAttemptTimeout = 10 * time.Millisecond

// sleep waits for the retry delay with jitter and reports whether ctx leaves time for an attempt.
func (l *leaderClient) sleep(ctx context.Context) bool {
	t := time.NewTimer(l.retryDelay/2 + rand.N(l.retryDelay/2+1))
	defer t.Stop()
	select {
	case <-t.C:
		deadline, bounded := ctx.Deadline()
		return ctx.Err() == nil && (!bounded || masticclock.Until(deadline) > minAttemptTimeout)
	case <-ctx.Done():
		return false
	}
}

// target returns the presumed leader, else the next control host, and a context that is
// cancelled when another host is confirmed as leader.
func (l *leaderClient) target() (string, context.Context) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	address := l.leader
	if address == "" {
		address = l.addresses[l.nextAddress%len(l.addresses)]
	}
	a, ok := l.attemptContexts[address]
	if !ok {
		a.ctx, a.cancel = context.WithCancel(context.Background())
		l.attemptContexts[address] = a
	}
	return address, a.ctx
}

// confirmLeader records that the host at address answered as leader and cancels the attempts at
// other hosts.
func (l *leaderClient) confirmLeader(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leader = address
	for other, a := range l.attemptContexts {
		if other != address {
			a.cancel()
			delete(l.attemptContexts, other)
		}
	}
}

// nextTarget chooses the target after a failure at address: the leader that the answer names,
// else the next host.
func (l *leaderClient) nextTarget(address string, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leader != "" && l.leader != address {
		return
	}
	var answered *masticwire.AnswerError
	if l.connections == nil && errors.As(err, &answered) && answered.LeaderAddress != "" && answered.LeaderAddress != address {
		l.leader = answered.LeaderAddress
		return
	}
	l.leader = ""
	l.nextAddress++
}

func (l *leaderClient) client(address string) (*masticwire.Client, error) {
	if l.connections != nil {
		return l.connections.client(address)
	}
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

// setMembers sets the addresses of the control group's members. They precede the seeds, which
// stay as a fallback for when all known members are gone.
func (l *leaderClient) setMembers(members []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(members) == 0 || slices.Equal(members, l.members) {
		return
	}
	l.members = slices.Clone(members)
	addresses := slices.Clone(members)
	for _, a := range l.seeds {
		if !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	l.addresses = addresses
}

// setSeeds replaces the seeds.
func (l *leaderClient) setSeeds(seeds []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, a := range seeds {
		if !slices.Contains(l.addresses, a) {
			l.addresses = append(l.addresses, a)
		}
	}
	l.seeds = slices.Clone(seeds)
}

// peers returns the addresses of the control hosts, members first.
func (l *leaderClient) peers() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.addresses)
}

func (l *leaderClient) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, a := range l.attemptContexts {
		a.cancel()
	}
	for _, c := range l.clients {
		c.Close()
	}
}
