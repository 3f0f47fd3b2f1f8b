package masticdispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticschedule"
	"masticladder/masticview"
)

func requestFields(r masticcall.Request) logrus.Fields {
	return logrus.Fields{
		"request": r.ID, "workspace": r.Workspace, "model": r.Model,
		"class": string(r.Class), "attempt": r.Attempt,
	}
}

// logDecision logs an assignment with all candidates. The line bears the time of the decision, which on a busy host may be long
// before the goroutine of the request runs.
func (d *Dispatcher) logDecision(r masticcall.Request, o *masticschedule.Outcome) {
	d.log.WithTime(o.At).WithFields(decisionFields(r, o)).WithField("candidates", formatCandidates(o)).Info("request routed")
}

// logAdopted logs an assignment by the coordinator with the given peer address, with its candidates. The
// coordinator has no line of it.
func (d *Dispatcher) logAdopted(peer string, r masticcall.Request, o *masticschedule.Outcome, a masticcall.ShardAssignment) {
	d.log.WithTime(o.At).WithFields(decisionFields(r, o)).WithFields(logrus.Fields{
		"candidates": a.Candidates, "coordinator": peer, "shard": r.Shard,
	}).Info("request routed")
}

func decisionFields(r masticcall.Request, o *masticschedule.Outcome) logrus.Fields {
	c := &o.Decision
	f := requestFields(r)
	f["server"], f["reason"], f["predictedMillis"] = o.Server.Name, string(c.Reason), millis(c.Predicted())
	f["waitMillis"], f["cachedTokens"], f["promptTokens"] = millis(c.Wait), int64(c.Cached), c.Tokens
	f["queuedMillis"], f["lookUps"], f["prefix"] = millis(o.Queued), c.LookUps, c.Prefix()
	f["weights"], f["software"] = o.Server.VersionOf(r.ModelName()), o.Server.Software
	f["fetch"], f["fetchTokens"], f["save"] = c.Fetch, int64(c.FetchTokens), c.Save
	f["heldMillis"] = millis(o.Held)
	return f
}

// formatCandidates lists the evaluated candidates as name=reason:milliseconds:cachedTokens.
func formatCandidates(o *masticschedule.Outcome) string {
	b := make([]byte, 0, candidateBytes*len(o.Names))
	for i, c := range o.Decision.Evaluated() {
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(b, o.Names[i]...)
		b = append(b, '=')
		b = append(b, c.Reason...)
		b = strconv.AppendInt(append(b, ':'), millis(c.Predicted()), 10)
		b = strconv.AppendInt(append(b, ':'), int64(c.Cached), 10)
	}
	return string(b)
}

// candidateBytes is the usual length of a candidate in the log.
const candidateBytes = 32

func (d *Dispatcher) logRefusal(r masticcall.Request, err error) {
	e := masticerror.From(err)
	d.log.WithFields(requestFields(r)).WithFields(logrus.Fields{
		"reason": string(e.Kind()), "message": e.Message(), "retryAfterMillis": millis(e.RetryAfter()),
	}).Info("request refused")
}

func (d *Dispatcher) logService(s masticview.Service, o *masticschedule.Outcome) {
	if o.Err != nil {
		d.log.WithFields(logrus.Fields{"service": s.Name, "reason": string(o.Err.Kind())}).Info("service call refused")
		return
	}
	d.log.WithTime(o.At).WithFields(logrus.Fields{
		"service": s.Name, "server": o.Server.Name, "reason": "fewestCalls", "candidates": strings.Join(s.Servers, " "),
	}).Info("service call routed")
}

func millis(d time.Duration) int64 { return d.Milliseconds() }
