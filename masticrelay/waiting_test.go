package masticrelay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticbody"
	"masticladder/masticcaller"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// lateHost is a host whose net/http does not see in time that callers have left, as one without processor time.
type lateHost struct {
	fixture *fixture
	// deadline is the time that callers give a request.
	deadline time.Duration
	// ended is closed when the request has ended.
	ended chan struct{}
}

func (l *lateHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer close(l.ended)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	connection, now := masticcaller.FromContext(r.Context()), time.Now()
	l.fixture.relay.Serve(context.WithoutCancel(r.Context()), w, &Call{
		ID: "q1", Method: r.Method, URI: r.RequestURI, Host: "host.example", Path: r.URL.Path, Header: http.Header{},
		Body: masticbody.Of(body), Key: masticview.DigestOf([]byte(testKey)), HasKey: true, Received: now, Deadline: now.Add(l.deadline),
		Connection: connection,
	})
}

// leavingCaller closes its connection while its request waits.
type leavingCaller struct {
	c    *qt.C
	conn net.Conn
	// host gets the side of the host.
	host chan *masticcaller.Connection
}

// leave closes the connection and returns when the host's socket shows it.
func (l *leavingCaller) leave(reset bool) {
	if reset {
		l.c.Check(l.conn.(*net.TCPConn).SetLinger(0), qt.IsNil)
	}
	l.c.Check(l.conn.Close(), qt.IsNil)
	connection := <-l.host
	for range 1000 {
		if connection.Gone() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	l.c.Error("the host's socket does not show the close")
}

// newLateHost starts a host over servers and sends it a request.
func newLateHost(c *qt.C, deadline time.Duration, servers ...*rawServer) (*lateHost, *leavingCaller) {
	route := safe
	route.Timeout = time.Hour
	h := &lateHost{fixture: newFixture(c, route, servers...), deadline: deadline, ended: make(chan struct{})}
	front := httptest.NewUnstartedServer(h)
	caller := &leavingCaller{c: c, host: make(chan *masticcaller.Connection, 1)}
	front.Config.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		ctx = masticcaller.WithConnection(ctx, n)
		caller.host <- masticcaller.FromContext(ctx)
		return ctx
	}
	front.Start()
	c.Cleanup(front.Close)
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	caller.conn = conn
	return h, caller
}

// send sends the caller's request.
func (l *leavingCaller) send() {
	_, err := io.WriteString(l.conn, "POST /a/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 4\r\n\r\nbody")
	l.c.Assert(err, qt.IsNil)
}

// TestRequestIsSentAfterItsCallerLeft: a host that was short of processor time sent requests to servers seconds after their callers had
// closed their connections: the first time, and after a server had turned them away.
func TestRequestIsSentAfterItsCallerLeft(t *testing.T) {
	for name, x := range map[string]struct {
		leaveAfter int
		reset      bool
		want       int
	}{
		"closes while it waits for a server":   {want: 0},
		"resets while it waits for a server":   {want: 0, reset: true},
		"closes before the retry":              {leaveAfter: 1, want: 1},
		"resets before the retry":              {leaveAfter: 1, want: 1, reset: true},
		"closes before the second of retries ": {leaveAfter: 2, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := []*rawServer{newRawServer(c, notRunHead), newRawServer(c, notRunHead), newRawServer(c, okAnswer)}
			h, caller := newLateHost(c, 20*time.Second, servers...)
			h.fixture.dispatcher.beforeAssign = func(assigned int) {
				if assigned == x.leaveAfter {
					caller.leave(x.reset)
				}
			}
			caller.send()
			<-h.ended
			got := 0
			for _, s := range servers {
				got += len(s.received())
			}
			c.Assert(got, qt.Equals, x.want)
			last := h.fixture.dispatcher.results
			c.Assert(last[len(last)-1].Failure, qt.Equals, string(masticerror.KindCancelled))
		})
	}
}

// TestRequestIsSentAfterItsDeadline: the deadline passed while the request waited for a server, and the timer of its context ran late.
func TestRequestIsSentAfterItsDeadline(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, okAnswer)
	h, caller := newLateHost(c, 50*time.Millisecond, server)
	h.fixture.dispatcher.beforeAssign = func(int) { time.Sleep(100 * time.Millisecond) }
	caller.send()
	answer, err := http.ReadResponse(bufio.NewReader(caller.conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	<-h.ended
	c.Assert(server.received(), qt.HasLen, 0)
}

// floodServer answers a request with a body that does not end, until its connection is closed.
type floodServer struct {
	listener net.Listener
	closed   chan struct{}
}

func (f *floodServer) run() {
	defer close(f.closed)
	conn, err := f.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+q.Header.Get("Id")+"\r\nDigest: d\r\nContent-Length: 1000000000\r\n\r\n")
	for block := make([]byte, 64<<10); err == nil; {
		_, err = conn.Write(block)
	}
}

// TestServerWorksOnAfterDeadlineOfSlowCaller: a caller that takes nothing of its answer must not keep the server at work beyond the
// deadline, although the host waits in a write.
func TestServerWorksOnAfterDeadlineOfSlowCaller(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f := &floodServer{listener: l, closed: make(chan struct{})}
	h, caller := newLateHost(c, 300*time.Millisecond, &rawServer{listener: l})
	go f.run()
	caller.send()
	select {
	case <-f.closed:
	case <-time.After(20 * time.Second):
		c.Error("the connection to the server is open after the deadline")
	}
	c.Assert(caller.conn.Close(), qt.IsNil)
	<-h.ended
	_ = l.Close()
}

// silentServer takes a request and answers nothing until its connection is closed.
type silentServer struct {
	listener        net.Listener
	reached, closed chan struct{}
}

func (s *silentServer) run() {
	defer close(s.closed)
	conn, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	q, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	close(s.reached)
	_, _ = reader.ReadByte()
}

// TestServerWorksOnAfterCallerLeft: a caller that has sent bytes of a further request and leaves, which net/http does not see, must not keep
// the server at work until the deadline.
func TestServerWorksOnAfterCallerLeft(t *testing.T) {
	for name, further := range map[string]string{"no further bytes": "", "bytes of a further request": "POST /"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			s := &silentServer{listener: l, reached: make(chan struct{}), closed: make(chan struct{})}
			h, caller := newLateHost(c, time.Minute, &rawServer{listener: l})
			go s.run()
			caller.send()
			<-s.reached
			_, err = io.WriteString(caller.conn, further)
			c.Assert(err, qt.IsNil)
			caller.leave(false)
			select {
			case <-s.closed:
			case <-time.After(20 * time.Second):
				c.Error("the server still works on the request of a caller that has left")
			}
			<-h.ended
			_ = l.Close()
		})
	}
}
