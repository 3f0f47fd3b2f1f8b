package masticcontrol

import (
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticring"
)

const (
	// maxWaitingReports bounds the reports of failed backend servers that wait for the loop; others are rejected at once. Crashes
	// of many servers bring hundreds of them a second, and hosts report again what was rejected.
	maxWaitingReports = 64
	// maxBatchReports bounds the reports that one batch proposes, maxOpenReports those that are proposed and not applied yet.
	maxBatchReports = 16
	maxOpenReports  = 32
	// reportRetryAfter is when a host is to send a rejected report again.
	reportRetryAfter = 200 * time.Millisecond
	// callBudget is the time after which a batch leaves further commands and reports to the next one, so that heartbeats and
	// renewals do not wait for them.
	callBudget = 20 * time.Millisecond
)

// callQueues hold the calls that wait for the loop. A batch first handles the urgent ones, then commands and then reports.
type callQueues struct {
	// urgent are renewals and all other calls that change nothing in the log.
	urgent, commands, reports *masticring.Ring[*call]
}

func newCallQueues() callQueues {
	return callQueues{
		urgent:   masticring.New[*call]("calls to control", DefaultCallQueueSize),
		commands: masticring.New[*call]("commands to control", DefaultCallQueueSize),
		reports:  masticring.New[*call]("reports to control", maxWaitingReports),
	}
}

// offer queues a call. Its error says that it was not run.
func (q callQueues) offer(c *call) error {
	switch {
	case isReport(c):
		if err := q.reports.Offer(c); err != nil {
			return masticerror.From(err).WithRetryAfter(reportRetryAfter)
		}
		return nil
	case c.request.GetCommand() != nil:
		return q.commands.Offer(c)
	default:
		return q.urgent.Offer(c)
	}
}

func (q callQueues) all() []*masticring.Ring[*call] {
	return []*masticring.Ring[*call]{q.urgent, q.commands, q.reports}
}

// isReport reports whether a call reports a failed backend server. Its host repeats it until it is committed.
func isReport(c *call) bool { return c.request.GetCommand().GetSuspect() != nil }

// reportsOut returns the channel of reports, nil while enough of them are not applied yet.
func (l *loop) reportsOut() <-chan *call {
	if !l.takesReports() {
		return nil
	}
	return l.queues.reports.Out()
}

func (l *loop) takesReports() bool { return l.openReports < maxOpenReports }

// addWait adds the time that a report has waited for its batch to the ages that it states. With ages that are too short, a request
// seems to have been sent after the end of its server, and a server to have ended twice.
func addWait(r *masticproto.SuspectReport, wait time.Duration) {
	ms := wait.Milliseconds()
	if r == nil || ms <= 0 {
		return
	}
	r.FailedAgeMs += ms
	for i := range r.GetAgesMs() {
		r.AgesMs[i] += ms
	}
	for _, p := range r.GetParts() {
		if p.CompletedAgeMs != nil {
			p.CompletedAgeMs = proto.Int64(p.GetCompletedAgeMs() + ms)
		}
	}
}

// addProposal records a call whose command was proposed.
func (l *loop) addProposal(index uint64, p proposal) {
	l.proposals[index] = p
	if isReport(p.call) {
		l.openReports++
	}
}

// takeProposal removes and returns the proposal at index.
func (l *loop) takeProposal(index uint64) (proposal, bool) {
	p, ok := l.proposals[index]
	if !ok {
		return p, false
	}
	delete(l.proposals, index)
	if isReport(p.call) {
		l.openReports--
	}
	return p, true
}

// handleCalls handles calls in the order of their queues, the first ones first, until the bounds of a batch that began at
// the given time.
func (b *batch) handleCalls(now, began time.Time) {
	l := b.loop
	for _, c := range b.urgent {
		l.handle(now, c)
	}
	for _, c := range b.commands {
		l.handle(now, c)
	}
	for n := len(b.commands); n < l.batchCalls && l.withinBudget(began); n++ {
		c, ok := l.queues.commands.Take()
		if !ok {
			break
		}
		l.handle(now, c)
	}
	for _, c := range b.reports {
		l.handle(now, c)
	}
	for n := len(b.reports); n < maxBatchReports && l.takesReports() && l.withinBudget(began); n++ {
		c, ok := l.queues.reports.Take()
		if !ok {
			return
		}
		l.handle(now, c)
	}
}

func (l *loop) withinBudget(began time.Time) bool { return masticclock.Now().Sub(began) < l.callBudget }
