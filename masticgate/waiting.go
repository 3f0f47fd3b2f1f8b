package masticgate

import (
	"time"

	"masticladder/masticerror"
)

// waitingError returns why a request with the given deadline that has waited goes no further: its caller has closed the
// connection, or the deadline has passed. It is nil for other requests.
func (q *inbound) waitingError(deadline time.Time) *masticerror.Error {
	if q.connection.Gone() {
		return masticerror.New(masticerror.KindCancelled, "the caller closed its connection while the request waited")
	}
	return q.deadlineError(deadline)
}

// deadlineError returns an error if the deadline has passed. Timers of contexts run late on a host without processor time.
func (q *inbound) deadlineError(deadline time.Time) *masticerror.Error {
	if q.gate.now().Before(deadline) {
		return nil
	}
	return masticerror.New(masticerror.KindDeadline, "the deadline passed while the request waited")
}

// beforeSend is the last check of a model call before its first byte is sent.
func (m *modelCall) beforeSend() error { return asError(m.inbound.waitingError(m.request.Deadline)) }

// beforeSend is the last check of a call before its first byte is sent.
func (c *serviceCall) beforeSend() error { return asError(c.waitingError()) }

// waitingError returns why the call goes no further. An order goes on after its caller has left, so that its outcome is
// recorded.
func (c *serviceCall) waitingError() *masticerror.Error {
	if !c.service.Idempotent {
		return c.inbound.deadlineError(c.deadline)
	}
	return c.inbound.waitingError(c.deadline)
}

// asError returns e as an error that is nil if e is.
func asError(e *masticerror.Error) error {
	if e == nil {
		return nil
	}
	return e
}
