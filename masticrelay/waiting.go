package masticrelay

import (
	"net/http"
	"time"

	"masticladder/masticerror"
)

// waitingError returns why a request that has waited goes no further: its caller has closed the connection, or its deadline has
// passed. It is nil for other requests.
func (r *requestState) waitingError(now time.Time) *masticerror.Error {
	switch {
	case r.call.Connection.Gone():
		r.relay.metrics.callersGone.Inc(1)
		return masticerror.New(masticerror.KindCancelled, "the caller closed its connection while the request waited")
	case !now.Before(r.deadline):
		r.relay.metrics.expired.Inc(1)
		return masticerror.New(masticerror.KindDeadline, "the deadline passed while the request waited")
	}
	return nil
}

// preparation is the last check of an attempt before it is sent.
type preparation struct {
	request *requestState
	attempt Attempt
}

// header returns the header for the server, which states the time that is left at now, or why nothing is sent.
func (p *preparation) header(now time.Time) (http.Header, *masticerror.Error) {
	if err := p.request.waitingError(now); err != nil {
		return nil, err
	}
	return p.request.relay.backends.Header(p.request.call, p.attempt, now), nil
}
