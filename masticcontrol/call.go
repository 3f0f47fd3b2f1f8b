package masticcontrol

import (
	"context"
	"time"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
)

// call is one request from another host. The loop answers it exactly once.
type call struct {
	context context.Context
	request *masticproto.PeerRequest
	answers chan callResult
	// receivedAt is when the call was queued for the loop.
	receivedAt time.Time
}

type callResult struct {
	answer *masticproto.PeerAnswer
	err    error
}

func newCall(ctx context.Context, q *masticproto.PeerRequest) *call {
	return &call{context: ctx, request: q, answers: make(chan callResult, 1), receivedAt: masticclock.Now()}
}

func (c *call) answer(a *masticproto.PeerAnswer) { c.answers <- callResult{answer: a} }

func (c *call) fail(err error) { c.answers <- callResult{err: err} }

// abandoned reports whether the caller has stopped waiting.
func (c *call) abandoned() bool { return c.context.Err() != nil }

func (c *call) wait() (*masticproto.PeerAnswer, error) {
	select {
	case o := <-c.answers:
		return o.answer, o.err
	case <-c.context.Done():
		return nil, masticerror.Wrap(c.context.Err(), masticerror.KindOutcomeUnknown, "the caller's time ended")
	}
}

// watch is the stream of view updates to one host.
type watch struct {
	call    *call
	updates *updateRing
}
