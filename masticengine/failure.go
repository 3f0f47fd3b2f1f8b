package masticengine

import (
	"context"
	"errors"

	"masticladder/masticerror"
)

// Causes with which a call is ended from inside.
var (
	errSilent    = errors.New("the backend server was silent for too long")
	errCrossed   = errors.New("the answer belongs to another request")
	errCut       = errors.New("the answer ended before its end mark")
	errGap       = errors.New("the answer's events have a gap")
	errTooLarge  = errors.New("the answer is over its size limit")
	errUnbounded = errors.New("the answer does not state where it ends")
)

// Failure says how a call failed.
type Failure struct {
	// Err holds the kind and whether a byte may have been sent.
	Err *masticerror.Error
	// Sent reports that a byte of the request may have reached the server.
	Sent bool
	// ServerEnded reports that the server's incarnation ended during the call.
	ServerEnded bool
	// Incarnation is the server's incarnation when the call was made, if known.
	Incarnation string
	// Rejected is the server's own final answer to a request that it finds invalid.
	Rejected *Answer
}

// Error returns the text of the error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the error with its kind.
func (f *Failure) Unwrap() error { return f.Err }

// Retryable reports whether another server may answer an idempotent request.
func (f *Failure) Retryable() bool {
	if f.Rejected != nil {
		return false
	}
	switch f.Err.Kind() {
	case masticerror.KindBackendRefused, masticerror.KindBackendFailed, masticerror.KindStreamBroken:
		return true
	default:
		return false
	}
}

// classify gives the error of a failed call its kind.
func classify(ctx context.Context, err error, sent bool) *masticerror.Error {
	e := kindOf(ctx, err, sent)
	if sent {
		return e.WithSent()
	}
	return e
}

func kindOf(ctx context.Context, err error, sent bool) *masticerror.Error {
	var own *masticerror.Error
	cause := context.Cause(ctx)
	switch {
	case errors.As(cause, &own):
		return own
	case errors.Is(cause, errSilent):
		return failed(errSilent, sent)
	case errors.Is(cause, context.DeadlineExceeded):
		return masticerror.New(masticerror.KindDeadline, "the request's deadline passed")
	case cause != nil:
		return masticerror.New(masticerror.KindCancelled, "the caller went away")
	}
	return failed(err, sent)
}

func failed(err error, sent bool) *masticerror.Error {
	if !sent {
		return masticerror.Wrap(err, masticerror.KindBackendRefused, "the backend server could not be reached")
	}
	return masticerror.Wrap(err, masticerror.KindBackendFailed, "the backend server failed: %s", reason(err))
}

// reason says what went wrong without addresses and without text of the answer, since
// callers and logs get it.
func reason(err error) string {
	for _, known := range []error{errSilent, errCrossed, errCut, errGap, errTooLarge, errUnbounded} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "the connection broke"
}
