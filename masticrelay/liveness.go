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
	case f == nil || f.Answered:
		d.Observe(server, server.Incarnation, sentAt, masticdetector.SignAnswered)
	case f.Refused:
		d.Observe(server, server.Incarnation, sentAt, masticdetector.SignRefused)
	case !f.Sent:
	case f.Err.Kind() == masticerror.KindDeadline || f.Err.Kind() == masticerror.KindCancelled:
		d.Abandoned(server, server.Incarnation, sentAt, r.content)
	default:
		return r.failed(ctx, sentAt, server)
	}
	return masticcall.VerdictUnknown
}

// failed reports the request to the detector and waits for the first check of the server, for a
// suspect for longer, since its hold is released afterwards.
func (r *requestState) failed(ctx context.Context, sentAt time.Time, server masticview.Server) masticcall.Verdict {
	timeout := firstCheckTimeout
	if r.held {
		timeout = heldCheckTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v := r.relay.detector.Failed(ctx, server, server.Incarnation, sentAt, r.content)
	if v == masticcall.VerdictEnded {
		r.relay.metrics.endedServers.Inc(1)
	}
	return v
}
