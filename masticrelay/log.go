package masticrelay

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// logOutcome logs the outcome of the request, in one line.
func (r *requestState) logOutcome(err *masticerror.Error) {
	now := time.Now()
	fields := logrus.Fields{
		"request": r.call.ID, "content": r.content.Digest.Short(), "parts": r.content.ShortParts(), "route": r.route.Name, "workspace": r.workspace.Name, "pool": r.pool.Name,
		"server": r.server, "sends": r.attempts, "ran": r.mayHaveRun, "status": r.status,
		"millis": now.Sub(r.call.Received).Milliseconds(), "document": r.relay.table.Load().documentNumber(),
	}
	if !r.deadline.IsZero() {
		fields["leftMillis"] = r.deadline.Sub(now).Milliseconds()
	}
	if !r.firstByteAt.IsZero() {
		fields["firstMillis"] = r.firstByteAt.Sub(r.call.Received).Milliseconds()
	}
	if r.events.count > 0 {
		fields["events"] = r.events.count
	}
	r.addStream(fields)
	log := r.relay.log.WithFields(fields)
	if err == nil {
		log.Info("request answered")
		return
	}
	log.WithField("reason", string(err.Kind())).WithField("cause", err.Message()).
		WithField("retryAfterMillis", err.RetryAfter().Milliseconds()).Warn("request refused or failed")
}

// logAttempt logs a failed attempt. "ended" means that the connection broke; "verdict" is what was known
// of the server when the attempt was given up.
func (r *requestState) logAttempt(server masticview.Server, f *masticbackend.Failure, ran time.Duration, verdict masticcall.Verdict) {
	r.relay.log.WithFields(logrus.Fields{
		"request": r.call.ID, "content": r.content.Digest.Short(), "parts": r.content.ShortParts(), "server": server.Name, "incarnation": server.Incarnation,
		"sends": r.attempts, "sent": f.Sent, "ended": f.ServerEnded, "verdict": verdict.String(), "ranMillis": ran.Milliseconds(),
		"reason": string(f.Err.Kind()), "cause": f.Err.Error(), "software": server.Software, "events": r.events.count,
	}).Warn("attempt failed")
}

// addStream adds the software version of the last server, and of a stream that the caller takes up the
// request that began it and the last event that it holds. Values of callers are cut.
func (r *requestState) addStream(fields logrus.Fields) {
	fields["software"] = r.software
	if r.origin.recorded {
		fields["recorded"], fields["recordMillis"] = true, r.origin.wait.Milliseconds()
	}
	if r.call.LastEventID != "" || r.call.Resumes != "" {
		fields["resumes"], fields["lastEvent"] = cut(r.call.Resumes), cut(r.call.LastEventID)
	}
}

// logOrigin logs which version began the stream that the caller takes up, and who said so: this host's own
// record, a record of the control group, or the base version of the service.
func (r *requestState) logOrigin(found masticcall.StreamOrigin, began time.Time, err error) {
	source := "base"
	switch {
	case err != nil:
		source = "nobody"
	case found.ByItself:
		source = "own"
	case found.Recorded:
		source = "record"
	case found.Unknown:
		source = "unknown"
	}
	t := r.relay.table.Load()
	r.relay.log.WithFields(logrus.Fields{
		"request": r.call.ID, "resumes": cut(r.call.Resumes), "lastEvent": cut(r.call.LastEventID), "pool": r.pool.Name, "stream": r.shortStreamKey(),
		"software": found.Software, "source": source, "askedMillis": time.Since(began).Milliseconds(), "revision": t.view.Revision(),
		"servers": t.software[r.pool.Name].servers[found.Software], "cause": err,
	}).Info("origin of a stream")
}

// shortStreamKey returns the begin of the stream's first key, empty if its caller does not name it.
func (r *requestState) shortStreamKey() string {
	if len(r.origin.keys) == 0 {
		return ""
	}
	return fmt.Sprintf("%x", r.origin.keys[0][:6])
}

// maxLoggedBytes bounds a value of a caller in a line.
const maxLoggedBytes = 64

func cut(s string) string { return s[:min(len(s), maxLoggedBytes)] }

// logRetry logs whether the request is sent once more, and what is left of the pool's retry budget
// on this host.
func (r *requestState) logRetry(denial retryDenial) {
	r.relay.log.WithFields(logrus.Fields{
		"request": r.call.ID, "content": r.content.Digest.Short(), "pool": r.pool.Name, "again": denial == "", "denial": string(denial),
		"sends": r.attempts, "possibleRuns": r.possibleRuns, "budgetLeft": r.relay.retriesLeft(r.pool.Name),
	}).Info("retry decided")
}

// documentNumber returns the number of the document, or 0 if there is no table.
func (t *routingTable) documentNumber() int64 {
	if t == nil {
		return 0
	}
	return t.index.Number()
}
