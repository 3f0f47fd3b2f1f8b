package masticgate

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcaller"
	"masticladder/masticfake"
	"masticladder/masticview"
)

// lateGate is a gate whose net/http does not see in time that callers have left, as one without processor time.
type lateGate struct {
	gate *Gate
	// connections gets the host's side of each connection.
	connections chan *masticcaller.Connection
	ended       chan struct{}
}

func (l *lateGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer close(l.ended)
	l.gate.ServeHTTP(w, r.WithContext(context.WithoutCancel(r.Context())))
}

func (l *lateGate) withConnection(ctx context.Context, n net.Conn) context.Context {
	ctx = l.gate.NewServer().ConnContext(ctx, n)
	l.connections <- masticcaller.FromContext(ctx)
	return ctx
}

// leavingCaller closes its connection before a server is assigned to its request.
type leavingCaller struct {
	c    *qt.C
	gate *lateGate
	conn net.Conn
}

// leave closes the connection and returns when the host's socket shows it.
func (l *leavingCaller) leave() {
	l.c.Check(l.conn.Close(), qt.IsNil)
	connection := <-l.gate.connections
	for range 1000 {
		if connection.Gone() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	l.c.Error("the host's socket does not show the close")
}

// countingHandler counts the requests that reach a server.
type countingHandler struct {
	next     http.Handler
	requests chan string
}

func (h *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		h.requests <- r.URL.Path
	}
	h.next.ServeHTTP(w, r)
}

// TestRequestIsSentAfterItsCallerLeft: a host that was short of processor time sent requests to servers after their callers had closed
// their connections. An order is sent all the same: its outcome is recorded for a resend.
func TestRequestIsSentAfterItsCallerLeft(t *testing.T) {
	for _, x := range []struct {
		name, path, body string
		sent             int
	}{
		{"model", "/v1/chat/completions", chatBody(false, "x"), 0},
		{"stream", "/v1/chat/completions", chatBody(true, "x"), 0},
		{"lookup", "/services/lookups/a", "", 0},
		{"order", "/services/orders/place/o1", orderBody, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(t).start()
			received := make(chan string, 8)
			b.addService(masticview.Service{Name: "lookups", Idempotent: true}, &countingHandler{masticfake.NewService("lookups"), received})
			b.addService(masticview.Service{Name: "orders"}, &countingHandler{masticfake.NewService("orders"), received})
			engine := b.serve(&countingHandler{masticfake.NewEngine("e", masticfake.WithModel(testModel, "1")), received})
			b.views.change(func(v masticview.View) masticview.View {
				return v.WithServer(masticview.Server{Name: "e", Kind: masticview.ServerEngine, URL: engine.URL(), Owner: "association", Models: []string{testModel}})
			})
			g := &lateGate{gate: b.gate, connections: make(chan *masticcaller.Connection, 1), ended: make(chan struct{})}
			front := httptest.NewUnstartedServer(g)
			front.Config.ConnContext = g.withConnection
			front.Start()
			defer front.Close()
			conn, err := net.Dial("tcp", front.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			caller := &leavingCaller{c: c, gate: g, conn: conn}
			b.dispatcher.beforeAcquire = caller.leave
			q, err := http.NewRequest(http.MethodPost, front.URL+x.path, strings.NewReader(x.body))
			c.Assert(err, qt.IsNil)
			q.Header.Set("Authorization", "Bearer "+testKey)
			q.Header.Set("Idempotency-Key", "k1")
			c.Assert(q.Write(conn), qt.IsNil)
			<-g.ended
			c.Assert(received, qt.HasLen, x.sent)
		})
	}
}
