package masticcontrol

import (
	"context"
	"sync/atomic"
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticquorum"
	"masticladder/masticring"
	"masticladder/masticwire"
)

const (
	// relayInterval is the least time between two batches of renewals to the leader. With 20 control hosts the
	// leader gets 500 calls a second at most, whatever the number of hosts.
	relayInterval = 40 * time.Millisecond
	// relayTimeout bounds one batch. Hosts repeat a renewal that got no answer.
	relayTimeout = 300 * time.Millisecond
	// maxRelayed bounds the renewals that wait, and those of one batch.
	maxRelayed = 1024
	// maxRelayedBatches bounds the answered batches that wait for the loop.
	maxRelayedBatches = 4
)

// renewalRelay passes the lease renewals of hosts on to the leader, several in one call, while another control
// host leads. The leader's work then grows with the number of control hosts and not with that of all hosts.
type renewalRelay struct {
	loop     *loop
	waiting  *masticring.Ring[*call]
	answered *masticring.Ring[relayedRenewals]
	leader   atomic.Pointer[string]
	clients  map[string]*masticwire.Client
}

// relayedRenewals are renewals with the leader's answers to them, nil if it gave none.
type relayedRenewals struct {
	calls   []*call
	answers []*masticproto.RenewAnswer
}

func newRenewalRelay(l *loop) *renewalRelay {
	r := &renewalRelay{
		loop:     l,
		waiting:  masticring.New[*call]("renewals to pass on", maxRelayed),
		answered: masticring.New[relayedRenewals]("answers to renewals", maxRelayedBatches),
		clients:  map[string]*masticwire.Client{},
	}
	r.leader.Store(new(string))
	return r
}

// setLeader sets the leader's address, empty if another host does not lead.
func (r *renewalRelay) setLeader(s masticquorum.Status) {
	address := ""
	if s.Leader != "" && s.Leader != r.loop.id {
		address = addressOf(s.Members, s.Leader)
	}
	if address != *r.leader.Load() {
		r.leader.Store(&address)
	}
}

// passOn queues a renewal that asks for it. It fails any other call, naming the leader.
func (l *loop) passOn(c *call) {
	if !c.request.GetRenew().GetRelay() || *l.relay.leader.Load() == "" || l.relay.waiting.Offer(c) != nil {
		c.fail(l.notLeader())
	}
}

// run passes renewals on until the ring is closed. One batch is under way at a time.
func (r *renewalRelay) run() {
	defer r.loop.backgroundTasks.Done()
	defer r.closeClients()
	for first := range r.waiting.Out() {
		calls := []*call{first}
		for len(calls) < maxRelayed {
			c, waits := r.waiting.Take()
			if !waits {
				break
			}
			calls = append(calls, c)
		}
		r.answer(relayedRenewals{calls: calls, answers: r.send(calls)})
		r.pause()
	}
}

// pause waits for relayInterval, in which further renewals gather.
func (r *renewalRelay) pause() {
	t := time.NewTimer(relayInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.loop.background.Done():
	}
}

// answer has the loop answer renewals.
func (r *renewalRelay) answer(renewals relayedRenewals) {
	if err := r.answered.Offer(renewals); err != nil {
		for _, c := range renewals.calls {
			c.fail(err)
		}
	}
}

// send returns the leader's answers to renewals, nil if it gave none.
func (r *renewalRelay) send(calls []*call) []*masticproto.RenewAnswer {
	address := *r.leader.Load()
	client, err := r.client(address)
	if err != nil {
		return nil
	}
	batch := &masticproto.RenewBatch{}
	for _, c := range calls {
		batch.Renewals = append(batch.Renewals, c.request.GetRenew())
	}
	ctx, cancel := context.WithTimeout(r.loop.background, relayTimeout)
	defer cancel()
	answer, err := client.Call(ctx, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_RenewBatch{RenewBatch: batch}})
	if err != nil {
		r.loop.log.WithError(err).WithField("renewals", len(calls)).WithField("leader", address).Debug("renewals were not passed on")
		return nil
	}
	if len(answer.GetRenewBatch().GetAnswers()) != len(calls) {
		return nil
	}
	return answer.GetRenewBatch().GetAnswers()
}

// client returns the connection to the leader at address. Those to former leaders are closed.
func (r *renewalRelay) client(address string) (*masticwire.Client, error) {
	if c, ok := r.clients[address]; ok {
		return c, nil
	}
	r.closeClients()
	c, err := r.loop.wire.Client(address)
	if err != nil {
		return nil, err
	}
	r.clients[address] = c
	return c, nil
}

func (r *renewalRelay) closeClients() {
	for _, c := range r.clients {
		c.Close()
	}
	clear(r.clients)
}

// close ends run and fails the renewals that wait.
func (r *renewalRelay) close() {
	r.waiting.Close()
	r.answered.Close()
	for c := range r.waiting.Out() {
		c.fail(masticerror.New(masticerror.KindDraining, "this control host stops"))
	}
	for a := range r.answered.Out() {
		for _, c := range a.calls {
			c.fail(masticerror.New(masticerror.KindDraining, "this control host stops"))
		}
	}
}

// answerRelayed answers renewals that were passed on, with what this control host knows that the hosts lack.
func (l *loop) answerRelayed(r relayedRenewals) {
	for i, c := range r.calls {
		if r.answers == nil {
			c.fail(l.notLeader())
			continue
		}
		answer := r.answers[i]
		l.addUpdates(answer, c.request.GetRenew())
		c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Renew{Renew: answer}})
	}
}
