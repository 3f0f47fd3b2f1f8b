package masticschedule

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticlimit"
	"masticladder/masticroute"
	"masticladder/masticview"
)

// limitAll makes the first n engines of s state a limit.
func limitAll(s *Scheduler, n int, requestsPerSecond float64) {
	for i := range n {
		s.ObserveRate(start, fmt.Sprint("engine", i), "", masticlimit.Observation{Limited: true, RequestsPerSecond: requestsPerSecond, SentAt: start})
	}
}

// TestRequestIsHeldAlthoughAllServersAreLimited: a request that the stated rates have no room for is
// refused at once. The times to come back follow from the sum of the rates, so that requests that
// return find room.
func TestRequestIsHeldAlthoughAllServersAreLimited(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(masticview.ServerActive, masticview.ServerActive)
	limitAll(s, 2, 2)
	now := start.Add(time.Millisecond)
	for i := range 8 {
		s.Submit(now, Ticket(i+1), requestOf("mill"), promptOf(100))
		o := onlyOutcome(c, s)
		c.Assert(o.Err, qt.IsNotNil)
		c.Assert(o.Err.Kind(), qt.Equals, masticerror.KindOverloaded)
		c.Assert(o.Err.NotRun(), qt.IsTrue)
		c.Assert(o.Err.RetryAfter(), qt.Equals, time.Duration(i+1)*time.Second/4)
	}
	c.Assert(s.Queued(), qt.Equals, 0)
	now = now.Add(time.Second)
	s.Submit(now, 9, requestOf("mill"), promptOf(100))
	c.Assert(onlyOutcome(c, s).Err == nil, qt.IsTrue)
}

// TestQueuedRequestIsHeldByLimits checks that a queued request is refused once limits leave no server.
func TestQueuedRequestIsHeldByLimits(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(masticview.ServerActive)
	s.Done(start, 1, masticcall.Result{})
	s.router.RecordProbe(start, "engine0", "", false)
	s.Submit(start, 2, requestOf("mill"), promptOf(100))
	c.Assert(s.Outcomes(), qt.HasLen, 0)
	limitAll(s, 1, 1)
	s.router.RecordProbe(start, "engine0", "", true)
	s.Poll(start.Add(20 * time.Millisecond))
	c.Assert(onlyOutcome(c, s).Err.Kind(), qt.Equals, masticerror.KindOverloaded)
}

// TestLimitedServiceRefusesAtOnce checks the same for a plain service, and that one server without a
// limit takes all requests.
func TestLimitedServiceRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	var v masticview.View
	for i := range 2 {
		v = v.WithServer(masticview.Server{Name: fmt.Sprint("engine", i), Kind: masticview.ServerService, Service: "desk", State: masticview.ServerActive})
	}
	s := New(masticroute.New())
	s.SetView(start, v)
	desk := masticview.Service{Name: "desk", Servers: []string{"engine0", "engine1"}}
	limitAll(s, 1, 2)
	for i := range 5 {
		s.SubmitService(start, Ticket(i+1), desk, nil)
		c.Assert(onlyOutcome(c, s).Server.Name, qt.Equals, "engine1")
	}
	limitAll(s, 2, 2)
	s.SubmitService(start, 6, desk, nil)
	o := onlyOutcome(c, s)
	c.Assert(o.Err.Kind(), qt.Equals, masticerror.KindOverloaded)
	c.Assert(o.Err.RetryAfter(), qt.Equals, time.Second/4)
}

// TestTokenInLargePoolIsFound checks that a request finds the one engine that may take it in a pool of
// which only a part is evaluated for each request.
func TestTokenInLargePoolIsFound(t *testing.T) {
	c := qt.New(t)
	const engines = 90
	s := New(masticroute.New(masticroute.WithSeed(1), masticroute.WithSharedLoad()))
	states := make([]masticview.ServerState, engines)
	for i := range states {
		states[i] = masticview.ServerActive
	}
	s.SetView(start, viewOf(states...))
	limitAll(s, engines-1, 0.25)
	for i := range 20 {
		s.Submit(start, Ticket(i+1), requestOf("mill"), promptOf(100))
		o := onlyOutcome(c, s)
		c.Assert(o.Err == nil, qt.IsTrue)
		c.Assert(o.Server.Name, qt.Equals, fmt.Sprint("engine", engines-1))
		s.Done(start, Ticket(i+1), masticcall.Result{CachedUnknown: true})
	}
}
