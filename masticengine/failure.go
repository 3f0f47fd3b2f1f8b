package masticengine

import (
	"context"
	"errors"

	"masticladder/masticerror"
)

// Reasons for which this package ends a call.
var (
	errServerTimeout = errors.New("the backend server was silent for too long")
	errWrongRequest  = errors.New("the answer belongs to another request")
	errTruncated     = errors.New("the answer ended before its end mark")
	errGap           = errors.New("the answer's events have a gap")
	errMemory        = errors.New("the answers in memory exceed the limit of the host")
	errTooLarge      = errors.New("the answer is over its size limit")
	errStatus        = errors.New("the status of the answer is no HTTP status")
	errUnframed      = errors.New("the answer does not state where it ends")
)

// Failure is the error of a failed call.
type Failure struct {
	// Err has the kind and records whether a byte may have been sent.
	Err *masticerror.Error
	// Sent reports that a byte of the request may have reached the server.
	Sent bool
	// ServerEnded reports that the server's incarnation ended during the call.
	ServerEnded bool
	// Incarnation is the server's incarnation at the time of the call, if known.
	Incarnation string
	// Paused reports that the server turned the call away and wants no further ones for a time.
	Paused bool
	// Rejected is the server's answer to a request that it rejected as invalid. No other server
	// is tried after it.
	Rejected *Answer
}

// Error returns the text of Err, without Rejected.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns Err, so that errors.As finds the kind.
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

// classify returns the error of a failed call with its kind, marked as sent if sent is set.
func classify(ctx context.Context, err error, sent bool) *masticerror.Error {
	e := errorFor(ctx, err, sent)
	if sent {
		return e.WithSent()
	}
	return e
}

func errorFor(ctx context.Context, err error, sent bool) *masticerror.Error {
	var own *masticerror.Error
	cause := context.Cause(ctx)
	switch {
	case errors.As(cause, &own):
		return own
	case errors.Is(cause, errServerTimeout):
		return backendError(errServerTimeout, sent)
	case errors.Is(cause, context.DeadlineExceeded):
		return masticerror.New(masticerror.KindDeadline, "the request's deadline passed")
	case cause != nil:
		return masticerror.New(masticerror.KindCancelled, "the caller went away")
	}
	return backendError(err, sent)
}

func backendError(err error, sent bool) *masticerror.Error {
	if !sent {
		return masticerror.Wrap(err, masticerror.KindBackendRefused, "the backend server could not be reached")
	}
	return masticerror.Wrap(err, masticerror.KindBackendFailed, "the backend server failed: %s", publicReason(err))
}

// publicReason describes err without addresses and without text of the answer, because callers
// receive it and logs contain it.
func publicReason(err error) string {
	for _, known := range []error{errServerTimeout, errWrongRequest, errTruncated, errGap, errMemory, errTooLarge, errStatus, errUnframed} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "the connection broke"
}
