package masticgate

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticfake"
	"masticladder/masticview"
)

// waitingTimeout is the timeout of requests that wait in the tests of a planned stop, in milliseconds.
const waitingTimeout = "60000"

// requestRun sends a request and keeps the reply.
type requestRun struct {
	fixture    *fixture
	path, body string
	headers    []string
	reply      reply
	done       chan struct{}
}

func (r *requestRun) run() {
	defer close(r.done)
	r.reply = r.fixture.send(http.MethodPost, r.path, r.body, append(r.headers, HeaderTimeout, waitingTimeout)...)
}

func (b *fixture) sendInBackground(path, body string, headers ...string) *requestRun {
	r := &requestRun{fixture: b, path: path, body: body, headers: headers, done: make(chan struct{})}
	go r.run()
	return r
}

// planEnded reports whether what a server may have run is told that the host ends.
func (b *fixture) planEnded() bool {
	ctx, scope := b.gate.drain.plan.Sent(context.Background())
	defer scope.End()
	return ctx.Err() != nil
}

// TestPlannedStopCutsWaitingRequests: requests that waited for a server when their host began to refuse what it could not complete
// waited on, and were cut with it.
func TestPlannedStopCutsWaitingRequests(t *testing.T) {
	for _, x := range []struct {
		name, path, body string
		// drains reports whether the host refuses all requests, not only orders.
		drains bool
	}{
		{"model", "/v1/chat/completions", chatBody(false, "x"), true},
		{"stream", "/v1/chat/completions", chatBody(true, "x"), true},
		{"lookup", "/services/lookups/a", "", true},
		{"order", "/services/orders/place/o1", orderBody, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t)
			b.limits.OrderMillis = 60_000
			b.dispatcher.full = true
			b.addEngine("engine-1")
			b.addService(masticview.Service{Name: "lookups", Idempotent: true}, masticfake.NewService("lookups"))
			b.addOrders(masticfake.NewService("orders"))
			b.start()
			waiting := b.sendInBackground(x.path, x.body)
			b.eventually(func() bool { return b.gate.Running() == 1 && b.gate.Requests().Stages()["server"] == 1 })
			b.gate.Leave(time.Now().Add(30 * time.Second))
			if x.drains {
				b.gate.Drain()
			}
			<-waiting.done
			b.c.Assert(b.planEnded(), qt.IsFalse)
			b.c.Assert(waiting.reply.detail(b.c).Kind, qt.Equals, masticerror.KindDraining)
			b.c.Assert(waiting.reply.detail(b.c).NotRun, qt.IsTrue)
			b.c.Assert(len(waiting.reply.detail(b.c).Addresses) > 0, qt.IsTrue)
		})
	}
}

// TestPlannedStopCutsRequestsWithoutAnswer: requests whose servers had not answered at the end of a planned stop were cut, and
// streams ended without a word.
func TestPlannedStopCutsRequestsWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t)
	e, _ := b.addEngine("engine-1")
	e.SetMode(masticfake.ModeHang)
	b.addOrders(masticfake.NewService("orders", masticfake.WithRelease(make(chan struct{}))))
	b.start()
	silent := b.sendInBackground("/v1/chat/completions", chatBody(false, "x"))
	order := b.sendInBackground("/services/orders/place/o1", orderBody)
	b.eventually(func() bool { return b.gate.Requests().Stages()["answer"] == 2 && len(e.Received()) == 1 })
	e.SetMode(masticfake.ModeStall)
	stream := b.openStream(context.Background())
	b.gate.Leave(time.Now().Add(100 * time.Millisecond))
	b.gate.Drain()
	rest, err := io.ReadAll(stream.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(rest), qt.Contains, `"kind":"draining"`)
	<-silent.done
	c.Assert(silent.reply.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(silent.reply.detail(c).Kind, qt.Equals, masticerror.KindDraining)
	c.Assert(silent.reply.detail(c).NotRun, qt.IsFalse)
	c.Assert(silent.reply.detail(c).OutcomeUnknown, qt.IsTrue)
	<-order.done
	c.Assert(order.reply.detail(c).Kind, qt.Equals, masticerror.KindOutcomeUnknown)
}

// TestStoppedHostCutsAnOrderThatItRecords: an order whose outcome could not be recorded when its host ended had no answer until its
// connection was closed.
func TestStoppedHostCutsAnOrderThatItRecords(t *testing.T) {
	for _, x := range []struct {
		name string
		// answered reports that the service has answered before the host ends.
		answered bool
		status   int
	}{
		{"without an answer", false, http.StatusBadGateway},
		{"with an answer", true, http.StatusOK},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t)
			const recordMillis = 25_000
			b.limits.RecordMillis = recordMillis
			b.ledger.recordFail = masticerror.New(masticerror.KindNoQuorum, "no leader")
			release := make(chan struct{})
			if x.answered {
				close(release)
			}
			b.addOrders(masticfake.NewService("orders", masticfake.WithRelease(release)))
			b.start()
			order := b.sendInBackground("/services/orders/place/o1", orderBody, HeaderIdempotencyKey, "k1")
			b.eventually(func() bool { return b.gate.Requests().Stages()["answer"] == 1 })
			b.gate.Leave(time.Now().Add(300 * time.Millisecond))
			select {
			case <-order.done:
			case <-time.After(15 * time.Second):
				b.c.Fatal("no answer")
			}
			b.c.Assert(order.reply.status, qt.Equals, x.status)
		})
	}
}

// brokenService takes all servers and breaks off.
type brokenService struct {
	fixture *fixture
	taken   chan struct{}
}

func (s *brokenService) ServeHTTP(http.ResponseWriter, *http.Request) {
	s.fixture.dispatcher.mu.Lock()
	s.fixture.dispatcher.full = true
	s.fixture.dispatcher.mu.Unlock()
	close(s.taken)
	panic(http.ErrAbortHandler)
}

// TestDrainEndsTheWaitOfACallThatMayHaveRun: a call that waits for a second server goes on until the host ends, since its caller can't
// simply send it to another host.
func TestDrainEndsTheWaitOfACallThatMayHaveRun(t *testing.T) {
	b := newFixture(t)
	s := &brokenService{fixture: b, taken: make(chan struct{})}
	b.addService(masticview.Service{Name: "lookups", Idempotent: true}, s)
	b.start()
	waiting := b.sendInBackground("/services/lookups/a", "")
	<-s.taken
	b.eventually(func() bool { return b.gate.Requests().Stages()["server"] == 1 })
	b.gate.Leave(time.Now().Add(30 * time.Second))
	b.gate.Drain()
	select {
	case <-waiting.done:
		b.c.Fatal("ended by the drain")
	case <-time.After(200 * time.Millisecond):
	}
	b.gate.Leave(time.Now())
	<-waiting.done
	b.c.Assert(waiting.reply.detail(b.c).Kind, qt.Equals, masticerror.KindDraining)
	b.c.Assert(waiting.reply.detail(b.c).NotRun, qt.IsFalse)
}

// TestPlannedStopCutsACallWithoutAnswer: a call that may be repeated and whose server had not answered at the end of a planned stop.
func TestPlannedStopCutsACallWithoutAnswer(t *testing.T) {
	b := newFixture(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	b.addService(masticview.Service{Name: "lookups", Idempotent: true}, masticfake.NewService("lookups", masticfake.WithRelease(release)))
	b.start()
	silent := b.sendInBackground("/services/lookups/a", "")
	b.eventually(func() bool { return b.gate.Requests().Stages()["answer"] == 1 })
	b.gate.Leave(time.Now().Add(100 * time.Millisecond))
	select {
	case <-silent.done:
	case <-time.After(10 * time.Second):
		b.c.Fatal("no answer")
	}
	b.c.Assert(silent.reply.detail(b.c).Kind, qt.Equals, masticerror.KindDraining)
}
