package masticquota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRefusesImmediatelyWhenNoGrantCanArriveInTime checks that a request is refused as soon as
// no grant can arrive in time, with the owner's RetryAfter, and that a smaller one may still wait.
func TestRefusesImmediatelyWhenNoGrantCanArriveInTime(t *testing.T) {
	c := qt.New(t)
	h := NewHolder("h", "1")
	d := h.Admit(begin, workspaceName, 100, begin.Add(time.Second))
	c.Assert(d.Verdict, qt.Equals, Waiting)
	r := h.Requests(begin)
	c.Assert(r, qt.HasLen, 1)
	c.Assert(r[0].NeedTokens, qt.Equals, int64(100))
	refused := h.Answer(begin, GrantAnswer{ID: r[0].ID, Workspace: workspaceName, RetryAfter: 10 * time.Second})
	c.Assert(refused, qt.DeepEquals, []Decision{{Ticket: d.Ticket, Verdict: Refused, RetryAfter: 10 * time.Second}})
	next := h.Admit(begin.Add(time.Second), workspaceName, 100, begin.Add(2*time.Second))
	c.Assert(next.Verdict, qt.Equals, Refused)
	c.Assert(next.RetryAfter, qt.Equals, 9*time.Second)
	c.Assert(h.Admit(begin, workspaceName, 10, begin.Add(time.Second)).Verdict, qt.Equals, Waiting)
}

// TestSettledTokensOfEndedGrantAreReportedOnce checks that the unused part of an ended grant is
// reported to the owner, and only once.
func TestSettledTokensOfEndedGrantAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(Limit{RateTokensPerSecond: 10, BurstTokens: 1000})
	h := NewHolder("h", "1")
	now := begin.Add(time.Hour)
	d := h.Admit(now, workspaceName, 1000, now.Add(time.Second))
	admitted := h.Answer(now, o.Grant(now, h.Requests(now)[0]))
	c.Assert(admitted, qt.DeepEquals, []Decision{{Ticket: d.Ticket, Verdict: Admitted}})
	now = now.Add(10 * time.Second)
	h.Expire(now)
	h.Settle(now, d.Ticket, 150)
	h.Settle(now, d.Ticket, 0)
	next := h.Admit(now, workspaceName, 850, now.Add(time.Second))
	admitted = h.Answer(now, o.Grant(now, h.Requests(now)[0]))
	c.Assert(admitted, qt.DeepEquals, []Decision{{Ticket: next.Ticket, Verdict: Admitted}})
}
