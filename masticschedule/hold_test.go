package masticschedule

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

// TestRequestIsHeldUntilPrefixIsRead guards against a second prefill of a prefix that one host sends twice in
// a short time, and against requests that stay held after the first one has failed.
func TestRequestIsHeldUntilPrefixIsRead(t *testing.T) {
	c := qt.New(t)
	for _, failed := range []bool{false, true} {
		r := newPrefixReplay(1)
		now := prefixStart
		r.setView(now)
		s := r.hosts[0].scheduler
		submit := func(t Ticket, own string) {
			prompt := masticprompt.Cut([]masticcall.Level{{Text: "prefix", Tokens: sharedLength}, {Text: own, Tokens: ownLength}})
			s.Submit(now, t, masticcall.Request{
				Model: masticview.PoolModel("pool", "m"), Class: masticview.ClassLong, Weight: 1, PromptTokens: prompt.Tokens(),
				FirstTokenDeadline: now.Add(4 * time.Second), Deadline: now.Add(prefixBudget),
			}, prompt)
		}
		submit(1, "a")
		c.Assert(s.Outcomes(), qt.HasLen, 1)
		submit(2, "b")
		s.Poll(now.Add(pollInterval))
		c.Assert(s.Outcomes(), qt.HasLen, 0)
		if failed {
			s.Done(now.Add(25*time.Millisecond), 1, masticcall.Result{Failure: "backendFailed"})
		} else {
			s.FirstToken(now.Add(25*time.Millisecond), 1)
		}
		out := s.Outcomes()
		c.Assert(out, qt.HasLen, 1)
		c.Assert(out[0].Ticket, qt.Equals, Ticket(2))
		c.Assert(out[0].Decision.Cached > 0, qt.Equals, !failed)
	}
}

// TestHeldRequestsKeepOthersFromBeingEvaluated: 16 requests that waited for one prefix to be read took all evaluations of the queue, so
// that others waited although engines were free.
func TestHeldRequestsKeepOthersFromBeingEvaluated(t *testing.T) {
	c := qt.New(t)
	r := newPrefixReplay(1)
	now := prefixStart
	r.setView(now)
	s := r.hosts[0].scheduler
	submit := func(t Ticket, prefix, own string) {
		prompt := masticprompt.Cut([]masticcall.Level{{Text: prefix, Tokens: sharedLength}, {Text: own, Tokens: ownLength}})
		s.Submit(now, t, masticcall.Request{
			Model: masticview.PoolModel("pool", "m"), Class: masticview.ClassLong, Weight: 1, PromptTokens: prompt.Tokens(),
			FirstTokenDeadline: now.Add(4 * time.Second), Deadline: now.Add(prefixBudget),
		}, prompt)
	}
	submit(1, "prefix", "first")
	c.Assert(s.Outcomes(), qt.HasLen, 1)
	const held = 2 * scanLimit
	for i := range Ticket(held) {
		submit(2+i, "prefix", string(rune('a'+i)))
	}
	c.Assert(s.Outcomes(), qt.HasLen, 0)
	submit(2+held, "another prefix", "own")
	out := s.Outcomes()
	c.Assert(out, qt.HasLen, 1)
	c.Assert(out[0].Ticket, qt.Equals, Ticket(2+held))
}
