package masticrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticdetector"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// maxLivenessBytes bounds the body of the answer to a liveness check.
const maxLivenessBytes = 64 << 10

// livenessChecker checks backend servers on which requests failed. It implements
// masticdetector.Checker.
type livenessChecker struct{ relay *Relay }

// Check sends a liveness check on a new connection.
func (l *livenessChecker) Check(ctx context.Context, server masticview.Server, _ string) masticdetector.Sign {
	c := l.relay
	path, header := c.backends.LivenessCheck(server, c.healthPath(server.Service))
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(time.Second)
	}
	answer, err := c.client.DoOnNewConnection(ctx, masticbackend.Request{
		Address: server.Address(), Method: http.MethodGet, URI: path, Host: server.Address(), Header: header, Deadline: deadline,
	})
	if err != nil {
		var f *masticbackend.Failure
		if errors.As(err, &f) && f.Refused {
			return masticdetector.SignRefused
		}
		return masticdetector.SignNone
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, maxLivenessBytes))
	switch {
	case err != nil:
		return masticdetector.SignNone
	case c.backends.Lives(server, answer.Status, answer.Header, body):
		return masticdetector.SignAnswered
	}
	return masticdetector.SignReplaced
}

// healthPath returns the path of the health check of the servers of pool.
func (c *Relay) healthPath(pool string) string {
	t := c.table.Load()
	if t == nil || t.index == nil {
		return ""
	}
	p, _ := t.index.Pool(pool)
	return p.HealthPath
}

// observe passes what the attempt showed of its server to the detector. It returns the verdict on the
// server, which is unknown if the attempt did not fail as it does when a server ends.
func (r *requestState) observe(ctx context.Context, sentAt time.Time, server masticview.Server, f *masticbackend.Failure) masticcall.Verdict {
	d := r.relay.detector
	switch {
	case d == nil:
	case f == nil:
		d.Completed(r.content)
	case f.Refused:
		d.Refused(server, server.Incarnation)
	case !f.Sent || f.Answered:
	case f.Err.Kind() == masticerror.KindDeadline || f.Err.Kind() == masticerror.KindCancelled:
		d.Abandoned(server, server.Incarnation, sentAt, r.content)
	default:
		return r.failed(ctx, sentAt, server)
	}
	return masticcall.VerdictUnknown
}

// answered passes to the detector that the server answered a request that was sent at sentAt, unless the
// answer is not a proper one of this server.
func (r *requestState) answered(server masticview.Server, sentAt time.Time, answer *masticbackend.Answer) {
	c := r.relay
	if c.detector != nil && c.backends.Valid(answer.Status, answer.Header) && !c.backends.Replaced(answer.Status) {
		c.detector.Answered(server, server.Incarnation, sentAt)
	}
}

// failed reports the request to the detector and waits for a verdict on the server, for a suspect for
// longer, since its hold is released afterwards.
func (r *requestState) failed(ctx context.Context, sentAt time.Time, server masticview.Server) masticcall.Verdict {
	timeout := verdictTimeout
	if r.held {
		timeout = heldVerdictTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v := r.relay.detector.Failed(ctx, server, server.Incarnation, sentAt, r.content)
	if v == masticcall.VerdictEnded {
		r.relay.metrics.endedServers.Inc(1)
	}
	return v
}
