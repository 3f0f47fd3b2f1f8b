package masticintake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// fakeAddr is the address of a client.
type fakeAddr string

func (a fakeAddr) Network() string { return "tcp" }

func (a fakeAddr) String() string { return string(a) }

// fakeConn is a connection that records its close.
type fakeConn struct {
	net.Conn
	address fakeAddr
	closed  bool
}

func (c *fakeConn) RemoteAddr() net.Addr { return c.address }

func (c *fakeConn) Close() error {
	c.closed = true
	return c.Conn.Close()
}

// connect adds a connection from address to the share. It reports whether there was room.
func connect(s *Share, address string) (*Conn, *fakeConn, bool) {
	near, _ := net.Pipe()
	f := &fakeConn{Conn: near, address: fakeAddr(address + ":1")}
	c := &Conn{Conn: f, share: s, source: sourceOf(f), inHead: true}
	return c, f, s.add(c)
}

// TestOldestOfTheLargestSourceIsClosedFirst guards against a listener that closes the connection of the one operator while
// another address holds all others.
func TestOldestOfTheLargestSourceIsClosedFirst(t *testing.T) {
	c := qt.New(t)
	s := New(Limits{Bytes: 1 << 20, HeadBytes: 1 << 20}).Share(ShareLimits{Connections: 4, ConnectionBytes: 10})
	_, operator, ok := connect(s, "10.0.0.1")
	c.Assert(ok, qt.IsTrue)
	var crowd []*fakeConn
	for range 8 {
		_, f, ok := connect(s, "10.0.0.2")
		c.Assert(ok, qt.IsTrue)
		crowd = append(crowd, f)
	}
	c.Check(operator.closed, qt.IsFalse)
	for i, f := range crowd {
		c.Check(f.closed, qt.Equals, i < 5, qt.Commentf("%d", i))
	}
	c.Check(s.guard.Usage(), qt.Equals, Usage{Connections: 4, Bytes: 40, Evicted: 5})
}

// TestCompleteRequestIsNotClosed guards against the loss of a request that may run.
func TestCompleteRequestIsNotClosed(t *testing.T) {
	c := qt.New(t)
	s := New(Limits{Bytes: 100, HeadBytes: 100}).Share(ShareLimits{Connections: 2, ConnectionBytes: 10})
	running, f, _ := connect(s, "10.0.0.1")
	running.SetState(http.StateActive)
	running.Complete()
	idle, g, _ := connect(s, "10.0.0.1")
	idle.SetState(http.StateActive)
	idle.SetState(http.StateIdle)
	_, _, ok := connect(s, "10.0.0.1")
	c.Check(ok, qt.IsTrue)
	c.Check([]bool{f.closed, g.closed}, qt.DeepEquals, []bool{false, true})
	_, _, ok = connect(s, "10.0.0.1")
	c.Check(ok, qt.IsTrue)
	c.Check(running.Grow(81), qt.IsTrue)
	c.Check(f.closed, qt.IsFalse)
	c.Check(running.Grow(10), qt.IsFalse)
	running.close()
	c.Check(s.guard.Usage().Bytes, qt.Equals, int64(0))
}

// TestListenerKeepsItsReserve guards against operators without memory while other listeners are full.
func TestListenerKeepsItsReserve(t *testing.T) {
	c := qt.New(t)
	g := New(Limits{Bytes: 100, HeadBytes: 100})
	operators, others := g.Share(ShareLimits{Connections: 9, ReservedBytes: 40}), g.Share(ShareLimits{Connections: 9})
	operator, _, _ := connect(operators, "10.0.0.1")
	other, _, _ := connect(others, "10.0.0.2")
	c.Check(other.Grow(61), qt.IsFalse)
	c.Check(other.Grow(60), qt.IsTrue)
	c.Check(operator.Grow(40), qt.IsTrue)
	c.Check(operator.Grow(1), qt.IsFalse)
	operator.Shrink(40)
	other.Shrink(60)
	c.Check(operator.Grow(100), qt.IsTrue)
	operator.close()
	c.Check(g.free, qt.Equals, int64(60))
}

type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) run() { _ = s.http.Serve(s.listener) }

// TestRequestWithinLimitsIsServed guards against limits that a permitted header or body reaches by itself, and against
// trailers that stay in memory.
func TestRequestWithinLimitsIsServed(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	g := New(Limits{Bytes: 4 << 20, HeadBytes: 1 << 20})
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, strconv.Itoa(len(b))+" "+strconv.Itoa(len(r.Header))+" "+strconv.Itoa(len(r.Trailer))+" "+strconv.FormatBool(err == nil))
	})
	s := &server{http: &http.Server{Handler: Handler(answer), ConnContext: ConnContext, ConnState: func(x net.Conn, state http.ConnState) {
		x.(*Conn).SetState(state)
	}}, listener: g.Share(ShareLimits{Connections: 1, ConnectionBytes: 1}).Listener(l, nil)}
	go s.run()
	c.Cleanup(func() { _ = s.http.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	var head strings.Builder
	for i := range 2600 {
		head.WriteString("X" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	reader := bufio.NewReader(conn)
	for _, x := range []struct{ request, want string }{
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n" + head.String() + "\r\nabc", "3 2601 0 true"},
		{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: a\r\n\r\n3\r\nabc\r\n0\r\na: b\r\n\r\n", "3 0 0 true"},
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "0 0 0 true"},
	} {
		_, err := io.WriteString(conn, x.request)
		c.Assert(err, qt.IsNil)
		a, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(a.Body)
		c.Assert(err, qt.IsNil)
		c.Check(string(got), qt.Equals, x.want)
	}
	c.Check(g.Usage().RefusedHeads, qt.Equals, int64(0))
}

// TestLongFirstMessageCountsItsSize guards against a limit that the first long message of a host on a connection reaches,
// since bytes before a message count for more than themselves.
func TestLongFirstMessageCountsItsSize(t *testing.T) {
	c := qt.New(t)
	s := New(Limits{Bytes: 64 << 20}).Share(ShareLimits{Connections: 1, OtherProtocol: true})
	x, _, _ := connect(s, "10.0.0.1")
	x.inHead = false
	for range 20 << 10 {
		c.Assert(x.countHead(make([]byte, 1<<10)), qt.IsTrue)
	}
	c.Check(s.guard.Usage().Bytes, qt.Equals, int64(32<<20))
	x.Complete()
	c.Check(s.guard.Usage().Bytes, qt.Equals, int64(0))
}
