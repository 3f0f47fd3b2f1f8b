package masticagent

import (
	"maps"
	"slices"
	"time"

	"masticladder/masticcall"
	"masticladder/masticview"
)

const (
	// maxMergedRequests bounds the requests of reports that are merged into one.
	maxMergedRequests = 256
	// baseReportInterval is the time between two reports of a host for each hostsPerInterval hosts of the site, so that all hosts
	// together send a bounded number of them. Sites with fewer hosts send each at once.
	baseReportInterval = 25 * time.Millisecond
	maxReportInterval  = 200 * time.Millisecond
	// rejectedReportDelay is the time until a report that the control group had no room for is sent again.
	rejectedReportDelay = 200 * time.Millisecond
)

// reportQueue holds reports on backend servers until they are acknowledged, the oldest first. Reports are not changed once queued:
// a merged one takes the place of another.
type reportQueue struct {
	reports []*masticcall.ServerReport
	// sent is the report that was taken last by first. It may be under way, and nothing is merged into it.
	sent *masticcall.ServerReport
}

// add adds a report, merged with an earlier one of the same incarnation and verdict if no report in between may depend on the
// order of the two.
func (q *reportQueue) add(r *masticcall.ServerReport) {
	for i, x := range slices.Backward(q.reports) {
		same := x.Server == r.Server && x.Incarnation == r.Incarnation && x.Verdict == r.Verdict
		if x != q.sent && same && fitsOneReport(x, r) {
			q.reports[i] = merged(x, r)
			return
		}
		if x == q.sent || x.Server == r.Server || x.Verdict == masticcall.VerdictCompleted || r.Verdict == masticcall.VerdictCompleted {
			break
		}
	}
	q.reports = append(q.reports, r)
}

// fitsOneReport reports whether a report with the requests of both states all of their parts.
func fitsOneReport(a, b *masticcall.ServerReport) bool {
	if len(a.Requests)+len(b.Requests) > maxMergedRequests {
		return false
	}
	parts := len(a.CompletedParts) + len(b.CompletedParts)
	for _, r := range []*masticcall.ServerReport{a, b} {
		for _, q := range r.Requests {
			parts += len(q.Content.Parts)
		}
	}
	return parts <= maxReportedParts
}

// merged returns a report that states what both do. The first one says when the server failed.
func merged(first, second *masticcall.ServerReport) *masticcall.ServerReport {
	out := *first
	out.Requests = slices.Concat(first.Requests, second.Requests)
	out.CompletedParts = maps.Clone(first.CompletedParts)
	if out.CompletedParts == nil {
		out.CompletedParts = map[masticview.Digest]time.Time{}
	}
	for d, at := range second.CompletedParts {
		if at.After(out.CompletedParts[d]) {
			out.CompletedParts[d] = at
		}
	}
	return &out
}

// first returns the oldest report, nil if there is none.
func (q *reportQueue) first() *masticcall.ServerReport {
	if len(q.reports) == 0 {
		return nil
	}
	q.sent = q.reports[0]
	return q.sent
}

// drop removes the oldest report if it is r.
func (q *reportQueue) drop(r *masticcall.ServerReport) {
	if len(q.reports) > 0 && q.reports[0] == r {
		q.reports = q.reports[1:]
	}
}

// suspectInterval returns the time between two reports of this host.
func (r *reporter) suspectInterval() time.Duration {
	return min(time.Duration(r.agent.hostCount()/hostsPerInterval)*baseReportInterval, maxReportInterval)
}
