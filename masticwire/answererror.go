package masticwire

import (
	"context"
	"errors"
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// AnswerError is an error with which another host answered a call.
type AnswerError struct {
	cause *masticerror.Error
	// Leader and LeaderAddress identify the leader if the answering host knows it.
	Leader, LeaderAddress string
}

// NewAnswerError returns err with the leader that the answering host knows.
func NewAnswerError(err error, leader, address string) *AnswerError {
	return &AnswerError{cause: masticerror.From(err), Leader: leader, LeaderAddress: address}
}

// Error returns the message with its kind.
func (e *AnswerError) Error() string { return e.cause.Error() }

// Unwrap returns the error with its kind.
func (e *AnswerError) Unwrap() error { return e.cause }

// encodeError encodes err as an answer. An error of a handler whose context ended gets kind
// outcomeUnknown, the same kind as a timeout on the caller's side.
func encodeError(err error) *masticproto.PeerAnswer {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		err = masticerror.Wrap(err, masticerror.KindOutcomeUnknown, "the call ended before its answer")
	}
	cause := masticerror.From(err)
	p := &masticproto.PeerError{
		Kind:         string(cause.Kind()),
		Message:      cause.Message(),
		RetryAfterMs: cause.RetryAfter().Milliseconds(),
		Sent:         !cause.NotRun(),
	}
	var answer *AnswerError
	if errors.As(err, &answer) {
		p.Leader, p.LeaderAddress = answer.Leader, answer.LeaderAddress
	}
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Error{Error: p}}
}

func decodeError(p *masticproto.PeerError) error {
	cause := masticerror.New(masticerror.Kind(p.GetKind()), "%s", p.GetMessage())
	cause = cause.WithRetryAfter(time.Duration(p.GetRetryAfterMs()) * time.Millisecond)
	if p.GetSent() {
		cause = cause.WithSent()
	}
	return &AnswerError{cause: cause, Leader: p.GetLeader(), LeaderAddress: p.GetLeaderAddress()}
}
