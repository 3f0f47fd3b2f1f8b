package masticcontrol

import (
	"time"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
)

// batch is the input of one iteration of the loop: all of it shares one sync.
type batch struct {
	loop        *loop
	messages    []*masticproto.PeerRequest
	urgent      []*call
	commands    []*call
	reports     []*call
	watches     []*watch
	encoded     []encodedSnapshot
	listing     *Listing
	failedLoads []loadOrder
	relayed     []relayedRenewals
}

func (b *batch) run() error {
	l := b.loop
	b.fill()
	now := masticclock.Now()
	began := now
	l.core.Tick(now)
	for _, m := range b.messages {
		l.peers.recordAddress(m)
		l.limitEntries(now, m.GetQuorum())
		l.core.Step(now, m.GetQuorum())
	}
	l.updateLeadership(now)
	b.handleCalls(now, began)
	for _, w := range b.watches {
		l.addWatcher(w)
	}
	for _, r := range b.relayed {
		l.answerRelayed(r)
	}
	if l.leader != nil && l.status.LeaseHeld {
		for _, o := range b.failedLoads {
			if l.leader.placement != nil {
				l.leader.placement.failed(now, o.order)
			}
		}
		l.leader.proposeDue(now)
		if b.listing != nil {
			l.leader.proposeListed(*b.listing)
		}
	}
	if err := l.advance(now); err != nil {
		return err
	}
	now = masticclock.Now()
	if l.leader != nil {
		l.leader.workload.countBatch(began, now, l.deadline, len(b.messages))
	}
	l.updateLeadership(now)
	l.pushChanges(now)
	l.pushSuspects(now)
	if l.leader != nil {
		l.leader.answerPublishes(now)
	}
	for _, e := range b.encoded {
		if err := l.compact(now, e); err != nil {
			return err
		}
	}
	if err := l.storeUnstored(now); err != nil {
		return err
	}
	l.recordSpace()
	l.startSnapshot(now)
	return nil
}

// fill adds the queued messages and urgent calls to the first item.
func (b *batch) fill() {
	for range DefaultMessageQueueSize {
		m, ok := b.loop.messages.Take()
		if !ok {
			break
		}
		b.messages = append(b.messages, m)
	}
	for len(b.urgent) < b.loop.batchCalls {
		c, ok := b.loop.queues.urgent.Take()
		if !ok {
			break
		}
		b.urgent = append(b.urgent, c)
	}
}

// handle answers a call, or queues it until its command is committed.
func (l *loop) handle(now time.Time, c *call) {
	if c.abandoned() {
		c.fail(masticerror.New(masticerror.KindCancelled, "the caller no longer waits"))
		return
	}
	switch k := c.request.GetKind().(type) {
	case *masticproto.PeerRequest_View:
		if l.replays(masticclock.Now()) {
			c.fail(l.notLeader())
			return
		}
		c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_View{View: l.updateFrom(k.View.GetRevision())}})
	default:
		l.handleAsLeader(now, c)
	}
}

// handleAsLeader answers the calls that only a leader within its lease may answer.
func (l *loop) handleAsLeader(now time.Time, c *call) {
	if l.leader == nil || !l.status.LeaseHeld {
		l.passOn(c)
		return
	}
	l.leader.workload.countCall(now, c)
	switch k := c.request.GetKind().(type) {
	case *masticproto.PeerRequest_Renew:
		l.leader.renew(now, c, k.Renew)
	case *masticproto.PeerRequest_RenewBatch:
		l.leader.renewBatch(now, c, k.RenewBatch)
	case *masticproto.PeerRequest_Command:
		l.leader.command(now, c, k.Command)
	case *masticproto.PeerRequest_Quota:
		l.leader.quota(now, c, k.Quota)
	case *masticproto.PeerRequest_Member:
		l.leader.addMemberRequest(c, k.Member)
	case *masticproto.PeerRequest_Usage:
		l.usage(c)
	case *masticproto.PeerRequest_Status:
		l.answerStatus(now, c)
	case *masticproto.PeerRequest_Document:
		l.readDocument(c)
	case *masticproto.PeerRequest_Rollout:
		l.readRollout(c, k.Rollout)
	default:
		c.fail(masticerror.New(masticerror.KindBadRequest, "a request of unknown kind"))
	}
}
