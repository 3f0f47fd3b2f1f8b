package masticerror

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Error is an error with a kind from the closed list. It is immutable.
type Error struct {
	kind       Kind
	message    string
	retryAfter time.Duration
	sent       bool
	cause      error
}

// New returns an error of kind k with that kind's default retry delay.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, message: fmt.Sprintf(format, args...), retryAfter: AnswerFor(k).RetryAfter}
}

// Wrap returns an error of kind k with cause err.
func Wrap(err error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = eris.Wrap(err, e.message)
	return e
}

// WithRetryAfter returns a copy with the retry delay d.
func (e Error) WithRetryAfter(d time.Duration) *Error {
	e.retryAfter = d
	return &e
}

// WithSent returns a copy that records that a byte of the request may have reached a backend server.
func (e Error) WithSent() *Error {
	e.sent = true
	return &e
}

// Kind returns the kind, which determines the HTTP status.
func (e *Error) Kind() Kind { return e.kind }

// RetryAfter returns the delay before a retry; zero means that a retry does not help.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Status returns the HTTP status of the kind.
func (e *Error) Status() int { return AnswerFor(e.kind).Status }

// NotRun reports whether it is certain that no byte of the request has reached a backend server
// and none can later.
func (e *Error) NotRun() bool {
	if e.sent {
		return false
	}
	return AnswerFor(e.kind).Outcome != OutcomeUnknown
}

// Error returns the message with its kind and cause, for operators and logs. Callers receive
// Message instead.
func (e *Error) Error() string {
	if e.cause != nil {
		return string(e.kind) + ": " + e.cause.Error()
	}
	return string(e.kind) + ": " + e.message
}

// Message returns the message without the kind.
func (e *Error) Message() string { return e.message }

// Unwrap returns the error that was wrapped, or nil.
func (e *Error) Unwrap() error { return e.cause }

// From returns the *Error in the chain of err. An error without one gets KindInternal and counts
// as possibly sent. From returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	internal := New(KindInternal, "%v", err).WithSent()
	internal.cause = err
	return internal
}

// KindOf returns the kind of err, and the empty kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind()
}
