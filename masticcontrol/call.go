package masticcontrol

import (
	"context"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// call is one request of another host. The loop answers it exactly once.
type call struct {
	context context.Context
	request *masticproto.PeerRequest
	answers chan outcome
}

type outcome struct {
	answer *masticproto.PeerAnswer
	err    error
}

func newCall(ctx context.Context, q *masticproto.PeerRequest) *call {
	return &call{context: ctx, request: q, answers: make(chan outcome, 1)}
}

func (c *call) answer(a *masticproto.PeerAnswer) { c.answers <- outcome{answer: a} }

func (c *call) fail(err error) { c.answers <- outcome{err: err} }

// abandoned reports whether the caller no longer waits.
func (c *call) abandoned() bool { return c.context.Err() != nil }

func (c *call) wait() (*masticproto.PeerAnswer, error) {
	select {
	case o := <-c.answers:
		return o.answer, o.err
	case <-c.context.Done():
		return nil, masticerror.Wrap(c.context.Err(), masticerror.KindOutcomeUnknown, "the caller's time ended")
	}
}

// watch is one host's stream of view updates.
type watch struct {
	call    *call
	updates *updates
}
