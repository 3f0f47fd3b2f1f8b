package masticcontrol

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticquorum"
)

// proposal is a call whose command was proposed at an index.
type proposal struct {
	call *call
	term uint64
}

// advance does what the core asks for until it asks for nothing more.
func (l *loop) advance(now time.Time) error {
	for {
		r, some := l.core.Ready()
		if !some {
			return nil
		}
		if err := l.perform(now, r); err != nil {
			return err
		}
		l.core.Advance(r)
	}
}

func (l *loop) perform(now time.Time, r masticquorum.Ready) error {
	if r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 {
		if err := l.store.Save(r.HardState, r.Entries, r.Snapshot); err != nil {
			return err
		}
	}
	l.peers.send(r.Messages, l.status.Members)
	if r.Snapshot != nil {
		if err := l.restore(r.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range r.Committed {
		if err := l.apply(now, e); err != nil {
			return err
		}
	}
	return nil
}

// restore replaces the state by the leader's snapshot. A proposal that it passes over is
// answered as unknown.
func (l *loop) restore(s *masticproto.Snapshot) error {
	before := l.state.View().Revision()
	if err := l.state.Restore(s.GetData()); err != nil {
		return masticerror.Wrap(err, masticerror.KindInternal, "restore the leader's snapshot at %d", s.GetIndex())
	}
	l.log.WithField("index", s.GetIndex()).Info("state restored from the leader's snapshot")
	l.stateBytes = int64(len(s.GetData()))
	l.replaced = l.replaced.with(s.GetMembers().GetMembers())
	l.notify(before)
	return nil
}

// apply applies one committed entry and answers the call that proposed it.
func (l *loop) apply(now time.Time, e *masticproto.Entry) error {
	result, err := l.applyEntry(now, e)
	if err != nil {
		return err
	}
	p, proposed := l.pending[e.GetIndex()]
	if !proposed {
		return nil
	}
	delete(l.pending, e.GetIndex())
	if p.term != e.GetTerm() {
		p.call.fail(l.notLeader())
		return nil
	}
	l.answerCommand(now, p.call, result)
	return nil
}

// answerCommand answers a committed command; a publish first waits to be in force.
func (l *loop) answerCommand(now time.Time, c *call, r commandResult) {
	publish := c.request.GetCommand().GetPublish() != nil
	switch {
	case r.refusal != nil:
		c.fail(r.refusal)
	case publish && l.leader != nil:
		l.leader.await(now, c, r.answer)
	default:
		c.answer(commandAnswer(r.answer))
	}
}

func commandAnswer(a *masticproto.CommandAnswer) *masticproto.PeerAnswer {
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Command{Command: a}}
}
