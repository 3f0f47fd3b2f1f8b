package masticagent

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticcall"
	"masticladder/masticview"
)

func queuedReport(n, server, incarnation int, verdict masticcall.Verdict) *masticcall.ServerReport {
	d := masticview.DigestOf(fmt.Append(nil, n))
	return &masticcall.ServerReport{
		Server: fmt.Sprint("s", server), Incarnation: fmt.Sprint(incarnation), Verdict: verdict, FailedAt: time.UnixMilli(int64(n)),
		Requests:       []masticcall.FailedRequest{{Content: masticcall.Content{Digest: d, Parts: []masticview.Digest{d}}}},
		CompletedParts: map[masticview.Digest]time.Time{d: time.UnixMilli(int64(n))},
	}
}

// TestReportsOfAnIncarnationAreMerged guards against a report for each failed attempt: with 87 hosts these were 500 a second.
func TestReportsOfAnIncarnationAreMerged(t *testing.T) {
	c := quicktest.New(t)
	var q reportQueue
	for n := range 300 {
		q.add(queuedReport(n, n%3, 1, masticcall.VerdictEnded))
		if n == 0 {
			q.first()
		}
	}
	// The first is under way; 100 are of each server.
	c.Assert(q.reports, quicktest.HasLen, 4)
	c.Assert(q.reports[0].Requests, quicktest.HasLen, 1)
	c.Assert(q.reports[3].Requests, quicktest.HasLen, 99)
	c.Assert(q.reports[3].FailedAt, quicktest.Equals, time.UnixMilli(3))
	c.Assert(q.reports[3].CompletedParts, quicktest.HasLen, 99)
}

// TestMergedReportsLoseNothing guards against requests, completions and verdicts that are lost, or change their order, as reports
// are merged while others are under way.
func TestMergedReportsLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q reportQueue
		var added, taken []*masticcall.ServerReport
		for n := range 60 {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				// A sender may take the oldest report again, as it got no answer.
				if r := q.first(); r != nil && rapid.Bool().Draw(t, "acknowledged") {
					q.drop(r)
					taken = append(taken, r)
				}
			default:
				verdict := rapid.SampledFrom([]masticcall.Verdict{
					masticcall.VerdictEnded, masticcall.VerdictEnded, masticcall.VerdictLost, masticcall.VerdictAlive, masticcall.VerdictCompleted,
				}).Draw(t, "verdict")
				r := queuedReport(n, rapid.IntRange(0, 2).Draw(t, "server"), rapid.IntRange(0, 1).Draw(t, "incarnation"), verdict)
				added = append(added, r)
				q.add(r)
			}
		}
		taken = append(taken, q.reports...)
		positions := map[masticview.Digest]int{}
		for i, r := range taken {
			for _, x := range r.Requests {
				if _, twice := positions[x.Content.Digest]; twice {
					t.Fatalf("a request is in two reports")
				}
				positions[x.Content.Digest] = i
				if r.CompletedParts[x.Content.Digest].IsZero() {
					t.Fatalf("a completion is lost")
				}
			}
		}
		for i, r := range added {
			at, ok := positions[r.Requests[0].Content.Digest]
			if !ok {
				t.Fatalf("report %d is lost", i)
			}
			m := taken[at]
			if m.Server != r.Server || m.Incarnation != r.Incarnation || m.Verdict != r.Verdict || m.FailedAt.After(r.FailedAt) {
				t.Fatalf("report %d is in another one: %+v", i, m)
			}
			for _, earlier := range added[:i] {
				before := positions[earlier.Requests[0].Content.Digest]
				ordered := earlier.Server == r.Server || earlier.Verdict == masticcall.VerdictCompleted || r.Verdict == masticcall.VerdictCompleted
				if ordered && before > at {
					t.Fatalf("report %d overtook one on which it may depend", i)
				}
			}
		}
	})
}

// TestMergedReportStatesAllParts guards against a merged report that leaves out parts, of which it states a bounded number.
func TestMergedReportStatesAllParts(t *testing.T) {
	c := quicktest.New(t)
	var q reportQueue
	for n := range 8 {
		r := queuedReport(n, 0, 1, masticcall.VerdictEnded)
		for i := range 1300 {
			r.Requests[0].Content.Parts = append(r.Requests[0].Content.Parts, masticview.DigestOf(fmt.Append(nil, n, i)))
		}
		q.add(r)
	}
	c.Assert(q.reports, quicktest.HasLen, 3)
	for _, r := range q.reports {
		p := &reportedParts{report: *r, indices: map[masticview.Digest]uint32{}}
		p.choose(func([]masticview.Digest) []masticview.Digest { return nil })
		for _, x := range r.Requests {
			c.Assert(p.of(x).GetIndices(), quicktest.HasLen, len(x.Content.Parts))
		}
	}
}
