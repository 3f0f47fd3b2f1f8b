package masticcontrol

import (
	"time"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// turn is one round of the loop: everything in it shares one sync.
type turn struct {
	loop     *loop
	messages []*masticproto.PeerRequest
	calls    []*call
	watches  []*watch
	encoded  []encoded
	servers  []masticview.Server
	failures []loadOrder
}

func (t *turn) run() error {
	l := t.loop
	t.takeMore()
	now := masticclock.Now()
	l.core.Tick(now)
	for _, m := range t.messages {
		l.peers.learn(m)
		l.core.Step(now, m.GetQuorum())
	}
	l.observe(now)
	for _, c := range t.calls {
		l.handle(now, c)
	}
	for _, w := range t.watches {
		l.addWatcher(w)
	}
	if l.leader != nil && l.status.LeaseHeld {
		for _, o := range t.failures {
			if l.leader.placement != nil {
				l.leader.placement.failed(now, o.order)
			}
		}
		l.leader.propose(now)
		if t.servers != nil {
			l.leader.listed(t.servers)
		}
	}
	if err := l.advance(now); err != nil {
		return err
	}
	l.pushChanges(now)
	now = masticclock.Now()
	l.observe(now)
	if l.leader != nil {
		l.leader.settle(now)
	}
	for _, e := range t.encoded {
		if err := l.compact(e); err != nil {
			return err
		}
	}
	l.freeze()
	return nil
}

// takeMore takes what waits besides the first item.
func (t *turn) takeMore() {
	for range DefaultMessages {
		m, ok := t.loop.messages.Take()
		if !ok {
			break
		}
		t.messages = append(t.messages, m)
	}
	for len(t.calls) < t.loop.batchCalls {
		c, ok := t.loop.calls.Take()
		if !ok {
			break
		}
		t.calls = append(t.calls, c)
	}
}

// handle answers a call, or keeps it until its command is committed.
func (l *loop) handle(now time.Time, c *call) {
	if c.abandoned() {
		c.fail(masticerror.New(masticerror.KindCancelled, "the caller no longer waits"))
		return
	}
	switch k := c.request.GetKind().(type) {
	case *masticproto.PeerRequest_View:
		c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_View{View: l.updateFrom(k.View.GetRevision())}})
	default:
		l.handleLeading(now, c)
	}
}

// handleLeading answers what only a leader within its lease may answer.
func (l *loop) handleLeading(now time.Time, c *call) {
	if l.leader == nil || !l.status.LeaseHeld {
		c.fail(l.notLeader())
		return
	}
	switch k := c.request.GetKind().(type) {
	case *masticproto.PeerRequest_Renew:
		l.leader.renew(now, c, k.Renew)
	case *masticproto.PeerRequest_Command:
		l.leader.command(now, c, k.Command)
	case *masticproto.PeerRequest_Quota:
		l.leader.quota(now, c, k.Quota)
	case *masticproto.PeerRequest_Member:
		l.leader.member(c, k.Member)
	case *masticproto.PeerRequest_Usage:
		l.usage(c)
	case *masticproto.PeerRequest_Status:
		l.answerStatus(now, c)
	case *masticproto.PeerRequest_Document:
		l.readDocument(c)
	default:
		c.fail(masticerror.New(masticerror.KindBadRequest, "a request of unknown kind"))
	}
}
