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
func deskOf(n int, options ...masticroute.Option) (*Scheduler, masticview.Service) {
	var v masticview.View
	desk := masticview.Service{Name: "desk"}
	for i := range n {
		name := fmt.Sprint("server", i)
		v = v.WithServer(masticview.Server{Name: name, Kind: masticview.ServerService, Service: "desk", State: masticview.ServerActive, Incarnation: "1"})
		desk.Servers = append(desk.Servers, name)
	}
	s := New(masticroute.New(append(options, masticroute.WithSeed(1))...))
	s.SetView(start, v)
	return s, desk
}

// TestServerReturnsSlowlyAfterPause: a server that turned requests away for a while was treated as one that
// fails: each refusal lengthened its cooldown, and it got nothing for seconds afterwards.
func TestServerReturnsSlowlyAfterPause(t *testing.T) {
	const spell, pause, interval = 8 * time.Second, 300 * time.Millisecond, 10 * time.Millisecond
	for name, options := range map[string][]masticroute.Option{"gate": nil, "relay": {masticroute.WithSharedLoad()}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, desk := deskOf(2, options...)
			got := map[string]int{}
			ends := start.Add(spell)
			refusals := 0
			// Each call overlaps the next one, which therefore goes to the other server if that takes it.
			end := func(time.Time) {}
			for now := start; now.Before(ends.Add(2 * time.Second)); now = now.Add(interval) {
				ticket := Ticket(now.Sub(start))
				s.SubmitService(now, ticket, desk, nil)
				o := onlyOutcome(c, s)
				c.Assert(o.Err == nil, qt.IsTrue)
				r := masticcall.Result{CachedUnknown: true}
				if now.Before(ends) && o.Server.Name == "server0" {
					r.Failure, r.Paused = string(masticerror.KindBackendRefused), true
					s.ObserveNotice(now, "server0", "1", false, now.Add(pause))
					refusals++
				}
				if now.After(ends.Add(time.Second)) {
					got[o.Server.Name]++
				}
				end(now)
				end = func(now time.Time) { s.Done(now, ticket, r) }
			}
			c.Assert(refusals <= int(spell/pause)+1, qt.IsTrue, qt.Commentf("%d refusals", refusals))
			c.Assert(float64(got["server0"]) >= 0.9*float64(got["server1"]), qt.IsTrue, qt.Commentf("%v", got))
		})
	}
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

// TestRestartedEngineStaysLeaving: where operators name the servers, their entries have no incarnation, so that
// an engine which restarted got no requests ever again.
func TestRestartedEngineStaysLeaving(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(masticview.ServerActive)
	takesRequest := func(t Ticket) bool {
		s.Submit(start, t, requestOf("mill"), promptOf(100))
		return onlyOutcome(c, s).Err == nil
	}
	s.Probe(start, "engine0", "run-1", true)
	s.ObserveNotice(start, "engine0", "", true, time.Time{})
	s.Probe(start, "engine0", "run-1", true)
	c.Assert(takesRequest(1), qt.IsFalse)
	s.Probe(start, "engine0", "run-2", true)
	c.Assert(takesRequest(2), qt.IsTrue)
	s.ObserveNotice(start, "engine0", "", true, time.Time{})
	c.Assert(takesRequest(3), qt.IsFalse)
	s.SetView(start, viewOf(masticview.ServerLeaving))
	s.SetView(start, viewOf(masticview.ServerActive))
	c.Assert(takesRequest(4), qt.IsTrue)
}

// TestLoadEndsLeaving checks that the states in which a platform lists an engine, and its loads, do not end
// what it stated.
func TestLoadEndsLeaving(t *testing.T) {
	c := qt.New(t)
	s := New(masticroute.New(masticroute.WithSeed(1), masticroute.WithSharedLoad()))
	s.SetView(start, viewOf(masticview.ServerActive))
	s.ObserveNotice(start, "engine0", "", true, time.Time{})
	s.SetView(start, viewOf(masticview.ServerLoading))
	s.SetView(start, viewOf(masticview.ServerActive))
	s.Submit(start, 1, requestOf("mill"), promptOf(100))
	c.Assert(onlyOutcome(c, s).Err != nil, qt.IsTrue)
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
