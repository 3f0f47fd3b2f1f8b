package masticcontrol

import (
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticproto"
)

// workload counts what the loop has done in one term of this host's leadership, and how late it was.
type workload struct {
	since                                          time.Time
	batches, messages, renewals, demands, commands int
	// reports are those of failed backend servers, which are counted in commands too.
	otherCalls, reports int
	// longestBatch is the longest time that one batch took, longestWait the longest time that a call waited
	// for its batch, latest the longest time by which a batch came after the deadline that it was due at.
	longestBatch, longestWait, latest time.Duration
}

// countCall counts a call that a batch at now handles.
func (w *workload) countCall(now time.Time, c *call) {
	w.longestWait = max(w.longestWait, now.Sub(c.receivedAt))
	switch c.request.GetKind().(type) {
	case *masticproto.PeerRequest_Renew, *masticproto.PeerRequest_RenewBatch:
		w.renewals++
	case *masticproto.PeerRequest_Quota:
		w.demands++
	case *masticproto.PeerRequest_Command:
		w.commands++
		if isReport(c) {
			w.reports++
		}
	default:
		w.otherCalls++
	}
}

// countBatch counts a batch that ran from began to now and was due at deadline, zero if it had none.
func (w *workload) countBatch(began, now, deadline time.Time, messages int) {
	w.batches++
	w.messages += messages
	w.longestBatch = max(w.longestBatch, now.Sub(began))
	if !deadline.IsZero() {
		w.latest = max(w.latest, began.Sub(deadline))
	}
}

// fields returns the workload for a log line at now.
func (w *workload) fields(now time.Time) logrus.Fields {
	return logrus.Fields{
		"millis": now.Sub(w.since).Milliseconds(), "batches": w.batches, "messages": w.messages,
		"renewals": w.renewals, "demands": w.demands, "commands": w.commands, "otherCalls": w.otherCalls, "reports": w.reports,
		"longestBatchMillis": w.longestBatch.Milliseconds(), "longestWaitMillis": w.longestWait.Milliseconds(),
		"latestMillis": w.latest.Milliseconds(),
	}
}
