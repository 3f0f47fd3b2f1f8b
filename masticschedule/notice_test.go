package masticschedule

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticroute"
	"masticladder/masticview"
)

// deskOf returns a scheduler with n servers of a plain service.
func deskOf(n int) (*Scheduler, masticview.Service) {
	var v masticview.View
	desk := masticview.Service{Name: "desk"}
	for i := range n {
		name := fmt.Sprint("server", i)
		v = v.WithServer(masticview.Server{Name: name, Kind: masticview.ServerService, Service: "desk", State: masticview.ServerActive, Incarnation: "1"})
		desk.Servers = append(desk.Servers, name)
	}
	s := New(masticroute.New(masticroute.WithSeed(1)))
	s.SetView(start, v)
	return s, desk
}

// TestServerReturnsSlowlyAfterPause: a server that had turned requests away was treated as one that fails,
// and got a third of what others got for seconds after its pause.
func TestServerReturnsSlowlyAfterPause(t *testing.T) {
	c := qt.New(t)
	s, desk := deskOf(2)
	until := start.Add(2 * time.Second)
	var ticket Ticket
	call := func(now time.Time, paused bool) string {
		ticket++
		s.SubmitService(now, ticket, desk, nil)
		o := onlyOutcome(c, s)
		c.Assert(o.Err == nil, qt.IsTrue)
		r := masticcall.Result{CachedUnknown: true}
		if paused && o.Server.Name == "server0" {
			r.Failure, r.Paused = string(masticerror.KindBackendRefused), true
			s.ObserveNotice(now, "server0", "1", false, until)
		}
		s.Done(now, ticket, r)
		return o.Server.Name
	}
	for range 20 {
		call(start, true)
	}
	for i := range 20 {
		c.Assert(call(start.Add(time.Duration(i)*time.Millisecond), true), qt.Equals, "server1")
	}
	got := map[string]int{}
	for i := range 400 {
		got[call(until.Add(time.Duration(i)*time.Millisecond), false)]++
	}
	c.Assert(got["server0"] >= 180, qt.IsTrue, qt.Commentf("%v", got))
}

// TestEarlierPauseEndsLaterOne checks that the order in which answers arrive does not matter, and that
// only a new incarnation ends what a server stated.
func TestEarlierPauseEndsLaterOne(t *testing.T) {
	c := qt.New(t)
	s, desk := deskOf(1)
	refusal := func(now time.Time) *masticerror.Error {
		s.SubmitService(now, 1, desk, nil)
		o := onlyOutcome(c, s)
		if o.Err == nil {
			s.Done(now, 1, masticcall.Result{CachedUnknown: true})
		}
		return o.Err
	}
	s.ObserveNotice(start, "server0", "1", false, start.Add(3*time.Second))
	s.ObserveNotice(start, "server0", "1", false, start.Add(time.Second))
	s.ObserveNotice(start, "server0", "0", true, time.Time{})
	e := refusal(start.Add(2 * time.Second))
	c.Assert(e.Kind(), qt.Equals, masticerror.KindOverloaded)
	c.Assert(e.NotRun(), qt.IsTrue)
	c.Assert(e.RetryAfter() >= time.Second && e.RetryAfter() <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", e.RetryAfter()))
	c.Assert(refusal(start.Add(3*time.Second)) == nil, qt.IsTrue)
	s.ObserveNotice(start, "server0", "1", true, time.Time{})
	c.Assert(refusal(start.Add(time.Hour)) != nil, qt.IsTrue)
	s.SetView(start, s.view.WithServer(masticview.Server{Name: "server0", Kind: masticview.ServerService, Service: "desk", State: masticview.ServerActive, Incarnation: "2"}))
	c.Assert(refusal(start.Add(time.Hour)) == nil, qt.IsTrue)
}

// TestQueuedRequestWaitsForPausedServers: a queued request waited until its time had passed although no
// server was going to take it.
func TestQueuedRequestWaitsForPausedServers(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(masticview.ServerActive, masticview.ServerActive)
	for i := range 2 {
		s.router.RecordProbe(start, fmt.Sprint("engine", i), "", false)
	}
	s.Submit(start, 1, requestOf("mill"), promptOf(100))
	c.Assert(s.Outcomes(), qt.HasLen, 0)
	for i := range 2 {
		s.ObserveNotice(start, fmt.Sprint("engine", i), "", false, start.Add(time.Hour))
		s.router.RecordProbe(start, fmt.Sprint("engine", i), "", true)
	}
	s.Poll(start.Add(20 * time.Millisecond))
	e := onlyOutcome(c, s).Err
	c.Assert(e.Kind(), qt.Equals, masticerror.KindOverloaded)
	c.Assert(e.RetryAfter() <= 4*time.Second, qt.IsTrue)
}

// TestRequestsOfPausedPoolReturnTogether checks that the times to come back are spread.
func TestRequestsOfPausedPoolReturnTogether(t *testing.T) {
	c := qt.New(t)
	s, desk := deskOf(1)
	s.ObserveNotice(start, "server0", "1", false, start.Add(time.Second))
	delays := map[time.Duration]bool{}
	for i := range Ticket(50) {
		s.SubmitService(start, i, desk, nil)
		delays[onlyOutcome(c, s).Err.RetryAfter()] = true
	}
	c.Assert(len(delays) > 40, qt.IsTrue)
}
