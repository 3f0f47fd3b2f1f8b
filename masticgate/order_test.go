package masticgate

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticfake"
	"masticladder/masticview"
)

const orderBody = `{"slot":7}`

func (b *fixture) addOrders(handlers ...http.Handler) []*masticfake.Server {
	return b.addService(masticview.Service{Name: "orders"}, handlers...)
}

func (b *fixture) order(id string, headers ...string) reply {
	return b.send(http.MethodPost, "/services/orders/place/"+id, orderBody, headers...)
}

func TestOrderIsReplayedForSameKey(t *testing.T) {
	b := newFixture(t)
	s := masticfake.NewService("orders")
	b.addOrders(s)
	b.start()
	first := b.order("o1", HeaderIdempotencyKey, "k1")
	again := b.order("o1", HeaderIdempotencyKey, "k1")
	b.c.Assert(first.status, qt.Equals, http.StatusOK)
	b.c.Assert(string(again.body), qt.Equals, string(first.body))
	b.c.Assert(first.header.Get(HeaderReplay), qt.Equals, "")
	b.c.Assert(again.header.Get(HeaderReplay), qt.Equals, "true")
	b.c.Assert(s.Count("o1"), qt.Equals, 1)
	other := b.order("o2", HeaderIdempotencyKey, "k1")
	b.c.Assert(other.status, qt.Equals, http.StatusUnprocessableEntity)
	b.c.Assert(other.detail(b.c).Kind, qt.Equals, masticerror.KindKeyReused)
	b.c.Assert(s.Count("o2"), qt.Equals, 0)
}

// TestOrderWithLostResponseRunsOnce checks that an order whose response is lost runs once, even
// with a second server available and when it is sent again.
func TestOrderWithLostResponseRunsOnce(t *testing.T) {
	t.Parallel()
	for _, mode := range []masticfake.Mode{masticfake.ModeCut, masticfake.ModeHang, masticfake.ModeCrossed} {
		for _, key := range []string{"", "k1"} {
			t.Run(string(mode)+key, func(t *testing.T) {
				t.Parallel()
				b := newFixture(t)
				b.client.AnswerTimeoutMillis = 1_000
				first, second := masticfake.NewService("orders"), masticfake.NewService("orders")
				first.SetMode(mode)
				b.addOrders(first, second)
				b.start()
				headers := []string{HeaderIdempotencyKey, key}
				if key == "" {
					headers = nil
				}
				r := b.order("o1", headers...)
				b.c.Assert(r.detail(b.c).Kind, qt.Equals, masticerror.KindOutcomeUnknown)
				b.c.Assert(r.detail(b.c).NotRun, qt.IsFalse)
				b.c.Assert(r.detail(b.c).OutcomeUnknown, qt.IsTrue)
				if key != "" {
					again := b.order("o1", headers...)
					b.c.Assert(again.detail(b.c).Kind, qt.Equals, masticerror.KindOutcomeUnknown)
				}
				b.c.Assert(first.Count("o1")+second.Count("o1"), qt.Equals, 1)
			})
		}
	}
}

func TestUnsentOrderReleasesReservation(t *testing.T) {
	b := newFixture(t)
	s := masticfake.NewService("orders")
	servers := b.addOrders(s)
	servers[0].Down()
	b.start()
	r := b.order("o1", HeaderIdempotencyKey, "k1")
	b.c.Assert(r.detail(b.c).NotRun, qt.IsTrue)
	b.c.Assert(b.ledger.released, qt.Equals, 1)
	b.c.Assert(b.order("o1").detail(b.c).NotRun, qt.IsTrue)
	b.c.Assert(servers[0].Up(), qt.IsNil)
	b.c.Assert(b.order("o1", HeaderIdempotencyKey, "k1").status, qt.Equals, http.StatusOK)
	b.c.Assert(s.Count("o1"), qt.Equals, 1)
}

func TestUnsentOrderFailsOver(t *testing.T) {
	b := newFixture(t)
	first, second := masticfake.NewService("orders"), masticfake.NewService("orders")
	servers := b.addOrders(first, second)
	servers[0].Down()
	b.start()
	b.c.Assert(b.order("o1", HeaderIdempotencyKey, "k1").status, qt.Equals, http.StatusOK)
	b.c.Assert(second.Count("o1"), qt.Equals, 1)
}

// TestOrderIsNotSentWithoutReservation checks that nothing is dispatched if the ledger fails.
func TestOrderIsNotSentWithoutReservation(t *testing.T) {
	b := newFixture(t)
	s := masticfake.NewService("orders")
	b.addOrders(s)
	b.ledger.fail = masticerror.New(masticerror.KindNoQuorum, "no quorum")
	b.start()
	r := b.order("o1", HeaderIdempotencyKey, "k1")
	b.c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
	b.c.Assert(r.detail(b.c).NotRun, qt.IsFalse)
	b.c.Assert(s.Count("o1"), qt.Equals, 0)
}

// sender sends one order in the background.
type sender struct {
	fixture *fixture
	ctx     context.Context
	done    chan struct{}
}

func (s sender) run() {
	defer close(s.done)
	q := s.fixture.request(s.ctx, http.MethodPost, "/services/orders/place/o1", orderBody, HeaderIdempotencyKey, "k1")
	if a, err := s.fixture.server.Client().Do(q); err == nil {
		_ = a.Body.Close()
	}
}

// TestOrderOutcomeSurvivesCallerDisconnect checks that the outcome is recorded although the
// caller disconnects, and that a resend waits for an order in flight.
func TestOrderOutcomeSurvivesCallerDisconnect(t *testing.T) {
	b := newFixture(t)
	release := make(chan struct{})
	s := masticfake.NewService("orders", masticfake.WithRelease(release))
	b.addOrders(s)
	b.start()
	ctx, cancel := context.WithCancel(context.Background())
	first := sender{fixture: b, ctx: ctx, done: make(chan struct{})}
	go first.run()
	b.eventually(func() bool { return s.Count("o1") == 1 })
	cancel()
	<-first.done
	resend := sender{fixture: b, ctx: context.Background(), done: make(chan struct{})}
	go resend.run()
	b.eventually(func() bool { return b.gate.Running() == 2 })
	close(release)
	<-resend.done
	r := b.order("o1", HeaderIdempotencyKey, "k1")
	b.c.Assert(r.status, qt.Equals, http.StatusOK)
	b.c.Assert(r.header.Get(HeaderReplay), qt.Equals, "true")
	b.c.Assert(s.Count("o1"), qt.Equals, 1)
}

// eventually waits until the condition holds. Only the timeout of the test run bounds the wait.
func (b *fixture) eventually(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// staleServer answers the first request of each connection. It reads a second one and closes the
// connection without a response, as a server that ends while it handles the request.
type staleServer struct {
	listener net.Listener
	requests chan string
}

func (s *staleServer) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		k := staleConn{server: s, conn: c}
		go k.run()
	}
}

// staleConn is one connection of a staleServer.
type staleConn struct {
	server *staleServer
	conn   net.Conn
}

func (k staleConn) run() {
	defer k.conn.Close()
	buffer := make([]byte, 64<<10)
	n, _ := k.conn.Read(buffer)
	k.server.requests <- string(buffer[:n])
	_, _ = k.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	n, _ = k.conn.Read(buffer)
	if n > 0 {
		k.server.requests <- string(buffer[:n])
	}
}

// TestOrderIsNotResentOnStaleConnection checks that an order is never sent over a connection on
// which net/http would send it a second time. It uses GET, a method that net/http does retry.
func TestOrderIsNotResentOnStaleConnection(t *testing.T) {
	b := newFixture(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	b.c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	s := &staleServer{listener: l, requests: make(chan string, 100)}
	go s.loop()
	b.views.change(func(v masticview.View) masticview.View {
		return v.WithServer(masticview.Server{Name: "stale", Kind: masticview.ServerService, URL: "http://" + l.Addr().String()}).
			WithService(masticview.Service{Name: "lookups", Servers: []string{"stale"}, Idempotent: true}).
			WithService(masticview.Service{Name: "orders", Servers: []string{"stale"}})
	})
	b.start()
	b.c.Assert(b.send(http.MethodGet, "/services/lookups/stock", "").status, qt.Equals, http.StatusOK)
	for range 3 {
		b.send(http.MethodGet, "/services/orders/place/o1", "", HeaderIdempotencyKey, "k1")
	}
	b.send(http.MethodGet, "/services/orders/place/o2", "")
	counts := make(map[string]int)
	for len(s.requests) > 0 {
		path, _, _ := strings.Cut(strings.TrimPrefix(<-s.requests, "GET "), " ")
		counts[path]++
	}
	b.c.Assert(counts, qt.DeepEquals, map[string]int{"/stock": 1, "/place/o1": 1, "/place/o2": 1})
}

func TestRepeatableCallFailsOver(t *testing.T) {
	t.Parallel()
	for _, mode := range []masticfake.Mode{masticfake.ModeCut, masticfake.ModeHang, masticfake.ModeRefuse, masticfake.ModeCrossed} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			b := newFixture(t)
			b.client.AnswerTimeoutMillis = 1_000
			first, second := masticfake.NewService("lookups"), masticfake.NewService("lookups")
			first.SetMode(mode)
			b.addService(masticview.Service{Name: "lookups", Idempotent: true}, first, second)
			b.start()
			r := b.send(http.MethodGet, "/services/lookups/stock/17?zone=a", "")
			b.c.Assert(r.status, qt.Equals, http.StatusOK)
			b.c.Assert(string(r.body), qt.Equals, `{"service":"lookups","order":"17"}`)
			b.c.Assert(second.Received()[0].Path, qt.Equals, "/stock/17?zone=a")
		})
	}
}

// TestLateResponseIsDiscarded checks that a response that arrives after the timeout reaches no
// caller: the next call gets its own response.
func TestLateResponseIsDiscarded(t *testing.T) {
	t.Parallel()
	b := newFixture(t)
	b.client.AnswerTimeoutMillis = 1_000
	release := make(chan struct{})
	s := masticfake.NewService("lookups", masticfake.WithRelease(release))
	b.addService(masticview.Service{Name: "lookups", Idempotent: true}, s)
	b.start()
	r := b.send(http.MethodGet, "/services/lookups/first", "")
	b.c.Assert(r.detail(b.c).Kind, qt.Equals, masticerror.KindBackendFailed)
	close(release)
	r = b.send(http.MethodGet, "/services/lookups/second", "")
	b.c.Assert(string(r.body), qt.Equals, `{"service":"lookups","order":"second"}`)
	b.c.Assert(b.engine.Counters().TimedOut.Load(), qt.Equals, int64(1))
}

// TestRefusedResendIsNotReportedAsNotRun checks that a refusal before the record was read does
// not state "not run" for an order that may have run when it was sent earlier.
func TestRefusedResendIsNotReportedAsNotRun(t *testing.T) {
	b := newFixture(t)
	b.addOrders(masticfake.NewService("orders"))
	b.addService(masticview.Service{Name: "lookups", Idempotent: true}, masticfake.NewService("lookups"))
	b.start()
	b.c.Assert(b.order("o1", HeaderIdempotencyKey, "k1").status, qt.Equals, http.StatusOK)
	for _, end := range []func(){b.views.endLease, b.gate.Drain} {
		end()
		b.c.Assert(b.order("o1", HeaderIdempotencyKey, "k1").detail(b.c).NotRun, qt.IsFalse)
		b.c.Assert(b.order("o1").detail(b.c).NotRun, qt.IsTrue)
		r := b.send(http.MethodGet, "/services/lookups/a", "", HeaderIdempotencyKey, "k1")
		b.c.Assert(r.detail(b.c).NotRun, qt.IsTrue)
	}
}

// TestOrderThatOutlastsPlannedStopIsRefused: an order that a host could not complete before its end was taken, and its outcome was
// unknown.
func TestOrderThatOutlastsPlannedStopIsRefused(t *testing.T) {
	b := newFixture(t)
	s := masticfake.NewService("orders")
	b.addOrders(s)
	b.start()
	b.gate.Leave(time.Now().Add(time.Second))
	for _, key := range []string{"", "k1"} {
		refused := b.order("o1", HeaderIdempotencyKey, key)
		b.c.Assert(refused.status, qt.Equals, http.StatusServiceUnavailable)
		b.c.Assert(refused.detail(b.c).Kind, qt.Equals, masticerror.KindDraining)
	}
	b.c.Assert(s.Count("o1"), qt.Equals, 0)
	b.gate.Leave(time.Now().Add(time.Hour))
	b.c.Assert(b.order("o1", HeaderIdempotencyKey, "k1").status, qt.Equals, http.StatusOK)
}

// TestKeyedOrderThatPlannedStopRefusesIsSaidNotToHaveRun: an earlier sending of it, through another host, may have run.
func TestKeyedOrderThatPlannedStopRefusesIsSaidNotToHaveRun(t *testing.T) {
	b := newFixture(t)
	b.addOrders(masticfake.NewService("orders"))
	b.start()
	b.gate.Leave(time.Now().Add(time.Second))
	for key, notRun := range map[string]bool{"": true, "k1": false} {
		b.c.Assert(b.order("o1", HeaderIdempotencyKey, key).detail(b.c).NotRun, qt.Equals, notRun, qt.Commentf("key %q", key))
	}
}

// TestLeavingHostStatesThatARepeatedOrderHasNotRun: a host that was being stopped refused the resend of an order that had run as not
// run, without a look at its record.
func TestLeavingHostStatesThatARepeatedOrderHasNotRun(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t)
	b.addOrders(masticfake.NewService("orders"))
	b.start()
	c.Assert(b.order("o1", HeaderIdempotencyKey, "k1").status, qt.Equals, http.StatusOK)
	b.gate.Leave(time.Now().Add(time.Second))
	refused := b.order("o1", HeaderIdempotencyKey, "k1")
	c.Assert(refused.detail(c).Kind, qt.Equals, masticerror.KindDraining)
	c.Assert(refused.detail(c).NotRun, qt.IsFalse)
	c.Assert(refused.detail(c).OutcomeUnknown, qt.IsTrue)
}
