package masticcontrol

import (
	"time"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticquorum"
)

// proposal is a call whose command was proposed in term and waits to be committed.
type proposal struct {
	call *call
	term uint64
}

// applyBudget is the time after which a batch leaves further committed entries to the next one. After a restart a control
// host applies its whole log; if it did so at once, its heartbeats would come too late for it to lead.
const applyBudget = 25 * time.Millisecond

// advance processes the consensus core's outputs until none are left, or until applyBudget is spent on committed entries.
func (l *loop) advance(now time.Time) error {
	l.unfinished = false
	l.applyTime = 0
	for {
		r, some := l.core.Ready()
		if !some {
			return nil
		}
		if err := l.perform(now, r); err != nil {
			return err
		}
		l.core.Advance(r)
		if r.More && l.applyTime > applyBudget {
			l.unfinished = true
			return nil
		}
	}
}

func (l *loop) perform(now time.Time, r masticquorum.Ready) error {
	if r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 {
		if err := l.store.Save(r.HardState, r.Entries, r.Snapshot); err != nil {
			return err
		}
		l.recordWrite()
	}
	l.peers.send(r.Messages, l.status.Members)
	if r.Snapshot != nil {
		if err := l.restore(r.Snapshot); err != nil {
			return err
		}
	}
	began := masticclock.Now()
	for _, e := range r.Committed {
		if err := l.apply(now, e); err != nil {
			return err
		}
	}
	l.applyTime += masticclock.Now().Sub(began)
	return nil
}

// restore replaces the state with the leader's snapshot. A proposal at an index that the snapshot
// covers is not answered with its result; its caller gets an unknown outcome.
func (l *loop) restore(s *masticproto.Snapshot) error {
	before := l.state.View().Revision()
	if err := l.state.Restore(s.GetData()); err != nil {
		return masticerror.Wrap(err, masticerror.KindInternal, "restore the leader's snapshot at %d", s.GetIndex())
	}
	l.log.WithField("index", s.GetIndex()).Info("state restored from the leader's snapshot")
	l.stateBytes = int64(len(s.GetData()))
	l.space.unstored = nil
	l.replacedMembers = l.replacedMembers.withMembers(s.GetMembers().GetMembers())
	l.pushSince(before)
	return nil
}

// apply applies one committed entry and answers the call that proposed it.
func (l *loop) apply(now time.Time, e *masticproto.Entry) error {
	result, err := l.applyEntry(now, e)
	if err != nil {
		return err
	}
	p, proposed := l.takeProposal(e.GetIndex())
	if !proposed {
		return nil
	}
	if p.term != e.GetTerm() {
		p.call.fail(l.notLeader())
		return nil
	}
	l.answerCommitted(now, p.call, result)
	return nil
}

// answerCommitted answers the call of a committed command. The leader answers a publish only once
// it is in force or its deadline has passed.
func (l *loop) answerCommitted(now time.Time, c *call, r commandResult) {
	publish := c.request.GetCommand().GetPublish() != nil
	switch {
	case r.refusal != nil:
		c.fail(r.refusal)
	case publish && l.leader != nil:
		l.leader.awaitInForce(now, c, r.answer)
	default:
		c.answer(commandAnswer(r.answer))
	}
}

func commandAnswer(a *masticproto.CommandAnswer) *masticproto.PeerAnswer {
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Command{Command: a}}
}
