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
	sentAt := time.Now()
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
	c.observeStatement(server, "", sentAt, answer)
	body, err := io.ReadAll(io.LimitReader(answer, maxLivenessBytes))
	if err != nil {
		return masticdetector.SignNone
	}
	incarnation, known := c.backends.Incarnation(server, answer.Status, answer.Header, body)
	if known && c.checks != nil {
		c.checks.ObserveCheck(server.Name, incarnation, sentAt)
	}
	if known && incarnation == server.Incarnation {
		answer.Confirm()
		return masticdetector.SignAnswered
	}
	return masticdetector.SignReplaced
}

// healthPath returns the path of the health check of the servers of pool.
func (c *Relay) healthPath(pool string) string {
	if t := c.table.Load(); t != nil && t.index != nil {
		if p, _ := t.index.Pool(pool); p.HealthPath != "" {
			return p.HealthPath
		}
	}
	return "/"
}

// noReports drops reports of failed servers, for hosts that do not share them.
type noReports struct{}

func (noReports) Report(masticcall.ServerReport) {}

// observe passes what the attempt showed of its server to the detector. It returns the verdict on the
// server, which is unknown if the attempt did not fail as it does when a server ends. A trial that was given up is
// left to endTrial.
func (r *requestState) observe(ctx context.Context, a *masticdetector.Attempt, f *masticbackend.Failure) masticcall.Verdict {
	switch {
	case f == nil:
		a.Completed(succeeded(r.status))
	case f.Refused:
		a.Refused()
	case !f.Sent || f.Answered:
		a.End()
	case r.held && givenUp(f):
		// endTrial ends the attempt.
	case givenUp(f) || f.Err.Kind() == masticerror.KindDraining:
		a.Abandoned()
	default:
		return r.failed(ctx, a)
	}
	return masticcall.VerdictUnknown
}

// givenUp reports whether the request ended without an answer because its deadline passed or its caller left.
func givenUp(f *masticbackend.Failure) bool {
	return f.Sent && !f.Answered && !f.Refused && (f.Err.Kind() == masticerror.KindDeadline || f.Err.Kind() == masticerror.KindCancelled)
}

// trial is a request with a hold that was given up before its server had answered.
type trial struct {
	relay   *Relay
	attempt *masticdetector.Attempt
	content masticcall.Content
	server  string
}

// endTrial releases the hold of an attempt. If the request was given up, it does so in the background, once it is known whether the
// server has ended: its silence may be its end, and the next trial of the same part would end another one.
func (r *requestState) endTrial(a *masticdetector.Attempt, server string, f *masticbackend.Failure) {
	if f != nil && givenUp(f) {
		if r.relay.beginTrialEnd() {
			go (&trial{relay: r.relay, attempt: a, content: r.content, server: server}).run()
			return
		}
		a.Abandoned()
	}
	r.relay.holds.Release(r.content, server, f == nil && succeeded(r.status))
}

// beginTrialEnd counts a trial that was given up. It reports false if the relay closes.
func (c *Relay) beginTrialEnd() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing.Err() != nil {
		return false
	}
	c.trials.Add(1)
	return true
}

func (t *trial) run() {
	defer t.relay.trials.Done()
	ctx, cancel := context.WithTimeout(t.relay.closing, heldVerdictTimeout)
	defer cancel()
	verdict := t.attempt.AbandonedTrial(ctx)
	t.relay.log.WithField("content", t.content.Digest.Short()).WithField("parts", t.content.ShortParts()).WithField("server", t.server).
		WithField("verdict", verdict.String()).Info("trial given up")
	t.relay.holds.Release(t.content, t.server, false)
}

// succeeded reports whether a server that gives status has worked on the whole request.
func succeeded(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// answered passes to the detector that the server has begun to answer, unless the answer is not a proper
// one of this server.
func (c *Relay) answered(a *masticdetector.Attempt, answer *masticbackend.Answer) {
	if c.backends.Valid(answer.Status, answer.Header) && !c.backends.Replaced(answer.Status) {
		a.Answered()
	}
}

// failed reports the attempt to the detector and waits for a verdict on the server, for a suspect for
// longer, since its hold is released afterwards.
func (r *requestState) failed(ctx context.Context, a *masticdetector.Attempt) masticcall.Verdict {
	timeout := verdictTimeout
	if r.held {
		timeout = heldVerdictTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v := a.Failed(ctx)
	if v == masticcall.VerdictEnded {
		r.relay.metrics.endedServers.Inc(1)
	}
	return v
}
