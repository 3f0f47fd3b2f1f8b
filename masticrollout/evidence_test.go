package masticrollout

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// TestEvidenceOfManyKindsIsBounded guards against a leader whose memory grows with routes, servers and the length of a rollout, and
// against answers that are dropped without a count. A host's report has 1,024 rows at most.
func TestEvidenceOfManyKindsIsBounded(t *testing.T) {
	for _, x := range []struct {
		hosts, rows, leftOut int
	}{{2, 512, 0}, {12, 1024, 60 * 4 * 1024}} {
		c := qt.New(t)
		now := time.UnixMilli(1_000_000)
		r := masticview.Rollout{Service: "huvo", FirstSequence: 1, Sequence: 1, Target: "2", OrderedAt: now, Deadline: now.Add(time.Minute)}
		e := NewEvidence(r)
		for second := range int64(60) {
			now = now.Add(1100 * time.Millisecond)
			for host := range x.hosts {
				p := &masticproto.RolloutEvidence{Service: "huvo", FirstSequence: 1, Sequence: 1, Requests: second}
				for i := range x.rows {
					p.Rows = append(p.Rows, &masticproto.RolloutRow{Route: fmt.Sprint(host, "-", i), Stratum: "z1", Server: "e1", Bad: second + 1})
				}
				e.Add(now, fmt.Sprint("h", host), "1", p)
			}
		}
		total, kept := 0, 0
		for _, s := range e.slices {
			total += len(s.cells)
		}
		kept = int(e.Totals(now).Bad)
		c.Check(total, qt.Equals, e.cells)
		c.Check(total <= maxTotalCells+2*maxCells, qt.IsTrue, qt.Commentf("%d kinds", total))
		c.Check(len(e.slices) > 3, qt.IsTrue)
		c.Check(e.Totals(now).LeftOut, qt.Equals, int64(x.leftOut))
		c.Check(kept+x.leftOut, qt.Equals, 60*x.hosts*x.rows)
	}
}

// TestRowsOfManyKindsStayInUse guards against a host with as many rows as it keeps that counts no more answers in those without a
// stratum.
func TestRowsOfManyKindsStayInUse(t *testing.T) {
	c := qt.New(t)
	s := &serviceTraffic{rows: map[rowKey]*counts{}}
	for range 2 {
		for i := range 2 * maxRows {
			row := s.row(rowKey{fmt.Sprint(i), "z1", ""})
			c.Assert(row, qt.IsNotNil)
			row.bad++
		}
	}
	c.Assert(s.row(rowKey{"other", "z1", ""}), qt.IsNil)
	c.Assert(s.rows, qt.HasLen, 2*maxRows)
	for k, row := range s.rows {
		c.Assert(row.bad, qt.Equals, int64(2), qt.Commentf("%v", k))
	}
}
