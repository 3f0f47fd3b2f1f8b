package masticsuspect

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// fullTracker returns a tracker at the bounds of its records of requests and parts, of its completions and with holds, and
// the time of the last.
func fullTracker(t *testing.T) (*Tracker, time.Time) {
	tracker, now := New(), begin
	digests := func(kind string, first, n int) [][]byte {
		var out [][]byte
		for i := range n {
			d := masticview.DigestOf(fmt.Append(nil, kind, first+i))
			out = append(out, d[:])
		}
		return out
	}
	report := func(r *masticproto.SuspectReport) {
		now = now.Add(time.Millisecond)
		_, err := tracker.Report(now, r)
		qt.Assert(t, err, qt.IsNil)
	}
	for i := 0; i < MaxRecords; i += 64 {
		r := &masticproto.SuspectReport{Server: fmt.Sprint("s", i/64%44), ServerIncarnation: "1", QuarantineAfter: 3, Digests: digests("request", i, 64)}
		for j, b := range digests("part", i/4, 16) {
			r.Parts = append(r.Parts, &masticproto.SuspectPart{Digest: b})
			r.RequestParts = append(r.RequestParts, &masticproto.PartIndices{Indices: []uint32{uint32(j)}})
		}
		report(r)
	}
	for i := 0; i < maxCompletions; i += 64 {
		report(&masticproto.SuspectReport{Verdict: masticproto.Verdict_VERDICT_COMPLETED, Digests: digests("completed", i, 64)})
	}
	for i := range 40 {
		tracker.Grant(now, &masticproto.SuspectHold{
			Digest: digests("request", i, 1)[0], Server: fmt.Sprint("s", i), Host: "h", DeadlineUnixMs: now.Add(time.Minute).UnixMilli(),
			Parts: digests("part", i, 8),
		})
	}
	qt.Assert(t, len(tracker.records), qt.Equals, MaxRecords)
	qt.Assert(t, len(tracker.parts), qt.Equals, MaxPartRecords)
	return tracker, now
}

// TestCostOfReportIsIndependentOfRecords guards against searches through all records at each report. With 87 hosts that report
// failed attempts hundreds of times a second, these took the control hosts all of their CPU time.
func TestCostOfReportIsIndependentOfRecords(t *testing.T) {
	for _, verdict := range []masticproto.Verdict{
		masticproto.Verdict_VERDICT_ENDED, masticproto.Verdict_VERDICT_LOST, masticproto.Verdict_VERDICT_ALIVE, masticproto.Verdict_VERDICT_COMPLETED,
	} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			tracker, now := fullTracker(t)
			before := tracker.visited
			const reports = 200
			for i := range reports {
				now = now.Add(time.Millisecond)
				d, p := masticview.DigestOf(fmt.Append(nil, "late", i)), masticview.DigestOf(fmt.Append(nil, "part", i))
				_, err := tracker.Report(now, &masticproto.SuspectReport{
					Server: fmt.Sprint("s", i%44), ServerIncarnation: "2", QuarantineAfter: 3, Verdict: verdict, Digests: [][]byte{d[:]},
					Parts: []*masticproto.SuspectPart{{Digest: p[:]}}, RequestParts: []*masticproto.PartIndices{{Indices: []uint32{0}}},
				})
				c.Assert(err, qt.IsNil)
			}
			perReport := float64(tracker.visited-before) / reports
			t.Logf("%.1f records visited by a report", perReport)
			c.Assert(perReport < 50, qt.IsTrue, qt.Commentf("%.1f records", perReport))
		})
	}
}

// TestIndexFollowsFromRecords guards against an index that differs from the records, by which control hosts that restored a
// snapshot would decide otherwise than those that applied the log.
func TestIndexFollowsFromRecords(t *testing.T) {
	c := qt.New(t)
	tracker, now := fullTracker(t)
	for i := range 500 {
		d, p := masticview.DigestOf(fmt.Append(nil, "request", i)), masticview.DigestOf(fmt.Append(nil, "part", i%90))
		now = now.Add(time.Duration(i%7) * 100 * time.Millisecond)
		_, err := tracker.Report(now, &masticproto.SuspectReport{
			Server: fmt.Sprint("s", i%9), ServerIncarnation: fmt.Sprint(i / 30), QuarantineAfter: 3, Verdict: masticproto.Verdict(i % 4), Digests: [][]byte{d[:]},
			Parts: []*masticproto.SuspectPart{{Digest: p[:]}}, RequestParts: []*masticproto.PartIndices{{Indices: []uint32{0}}},
		})
		c.Assert(err, qt.IsNil)
		tracker.Grant(now, &masticproto.SuspectHold{
			Digest: d[:], Server: fmt.Sprint("s", i%9), Host: "h", DeadlineUnixMs: now.Add(time.Second).UnixMilli(), Parts: [][]byte{p[:]},
		})
		if i%50 == 0 {
			restored, err := Restore(tracker.Snapshot())
			c.Assert(err, qt.IsNil)
			clear(tracker.index.untried)
			clear(restored.index.untried)
			c.Assert(reflect.DeepEqual(restored.index, tracker.index), qt.IsTrue)
		}
	}
}
