package masticschedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// fillEngine makes the only engine full for a long time.
func fillEngine(c *qt.C, s *Scheduler) {
	for n := range Ticket(2) {
		r := requestOf("other")
		r.Class = masticview.ClassLong
		s.Submit(start, n+1000, r, promptOf(30_000))
	}
	c.Assert(s.Queued() > 0, qt.IsTrue)
	s.Outcomes()
}

// TestRequestThatCannotBeServedWaits: a request waited until its deadline although its prefill alone took longer than what was left.
func TestRequestThatCannotBeServedWaits(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(masticview.ServerActive)
	fillEngine(c, s)
	r := requestOf("mill")
	r.Deadline = start.Add(20 * time.Second)
	s.Submit(start, 1, r, promptOf(10_000))
	c.Assert(s.Outcomes(), qt.HasLen, 0)
	s.Poll(r.Deadline.Add(-10 * time.Millisecond))
	out := slices.DeleteFunc(s.Outcomes(), func(o Outcome) bool { return o.Ticket != 1 })
	c.Assert(out, qt.HasLen, 1)
	o := out[0]
	c.Assert(o.Err != nil, qt.IsTrue)
	c.Assert(o.Err.Kind(), qt.Equals, masticerror.KindOverloaded)
	c.Assert(o.Err.NotRun(), qt.IsTrue)
}

// TestRefusedRequestsReturnTogether: all requests that were refused in an overload came back after exactly one second.
func TestRefusedRequestsReturnTogether(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(masticview.ServerActive)
	const requests = 200
	delays := map[time.Duration]int{}
	for n := range Ticket(requests) {
		r := requestOf("mill")
		r.Deadline = start.Add(2 * time.Second)
		s.Submit(start, n, r, promptOf(60_000))
		for _, o := range s.Outcomes() {
			if o.Err != nil {
				c.Assert(o.Err.Kind(), qt.Equals, masticerror.KindOverloaded)
				c.Assert(o.Err.RetryAfter() >= minReturnDelay, qt.IsTrue)
				delays[o.Err.RetryAfter().Round(20*time.Millisecond)]++
			}
		}
	}
	for at, n := range delays {
		c.Assert(n < requests/3, qt.IsTrue, qt.Commentf("%d return after %v", n, at))
	}
}

// TestRefusedRequestsReturnWithinTheirTime: callers do not wait for more than a third of the time that they have left.
func TestRefusedRequestsReturnWithinTheirTime(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(masticview.ServerActive)
	for left := time.Second; left < 8*time.Second; left += 100 * time.Millisecond {
		r := masticcall.Request{Model: "saw", Deadline: start.Add(left)}
		c.Assert(s.returnDelay(start, &r, 0) <= max(2*minReturnDelay, left/3), qt.IsTrue, qt.Commentf("%v", left))
	}
}

// TestSurgeOfOneOwnerDelaysOthers: the requests of all workspaces that share cached prompts waited in one line, so that those of one
// workspace that sent many times its usual rate went before the others.
func TestSurgeOfOneOwnerDelaysOthers(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(masticview.ServerActive)
	fillEngine(c, s)
	submit := func(n Ticket, owner string) {
		r := requestOf("")
		r.Owner = owner
		s.Submit(start, n, r, promptOf(2000-int(n)))
	}
	for n := range Ticket(50) {
		submit(n, "loud")
	}
	for n := range Ticket(3) {
		submit(100+n, "calm")
	}
	c.Assert(s.Outcomes(), qt.HasLen, 0)
	position := map[Ticket]int{}
	for now := start; len(position) < 53 && now.Before(start.Add(50*time.Second)); now = now.Add(pollInterval) {
		for _, t := range []Ticket{1000, 1001} {
			s.Done(now, t, masticcall.Result{CachedUnknown: true})
		}
		s.Poll(now)
		for _, o := range s.Outcomes() {
			position[o.Ticket] = len(position)
			s.Done(now, o.Ticket, masticcall.Result{CachedUnknown: true})
		}
	}
	for n := range Ticket(3) {
		c.Assert(position[100+n] < 10, qt.IsTrue, qt.Commentf("%s", fmt.Sprint(position)))
	}
}
