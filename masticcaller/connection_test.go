package masticcaller

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pair returns both sides of a connection.
func pair(c *qt.C) (caller, host *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// backgroundRead reads one byte, as net/http does while a handler runs.
type backgroundRead struct{ conn net.Conn }

func (b *backgroundRead) run() { _, _ = b.conn.Read(make([]byte, 1)) }

// waitUntilGone fails unless the connection is found closed within 10 s.
func waitUntilGone(c *qt.C, x *Connection) {
	for range 1000 {
		if x.Gone() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("a closed connection does not count as gone")
}

// TestClosedConnectionIsNotSeenBesideBackgroundRead: a check that waits for the read of net/http, or that stops at bytes before the
// close, does not see that the caller has left.
func TestClosedConnectionIsNotSeenBesideBackgroundRead(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"close":              func(x *net.TCPConn) { _ = x.Close() },
		"reset":              func(x *net.TCPConn) { _ = x.SetLinger(0); _ = x.Close() },
		"close after bytes":  func(x *net.TCPConn) { _, _ = io.WriteString(x, "next"); _ = x.Close() },
		"end of the sending": func(x *net.TCPConn) { _ = x.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			caller, host := pair(c)
			b := &backgroundRead{conn: host}
			go b.run()
			x := FromContext(WithConnection(context.Background(), tls.Server(host, nil)))
			c.Assert(x.Gone(), qt.IsFalse)
			leave(caller)
			waitUntilGone(c, x)
		})
	}
}

// TestOpenConnectionIsGone guards against checks that take an idle connection, or one with the bytes of a further request, for a
// closed one.
func TestOpenConnectionIsGone(t *testing.T) {
	c := qt.New(t)
	caller, host := pair(c)
	x := Of(host)
	c.Assert(x.Gone(), qt.IsFalse)
	_, err := io.WriteString(caller, "request")
	c.Assert(err, qt.IsNil)
	c.Assert(x.Gone(), qt.IsFalse)
	_, err = io.ReadFull(host, make([]byte, 7))
	c.Assert(err, qt.IsNil)
	c.Assert(x.Gone(), qt.IsFalse)
	_ = host.Close()
	c.Assert(x.Gone(), qt.IsTrue)
}

// TestAgeOfDataStartsAtRead guards against an age of a request that counts from when it was read.
func TestAgeOfDataStartsAtRead(t *testing.T) {
	c := qt.New(t)
	caller, host := pair(c)
	_, err := io.WriteString(caller, "request")
	c.Assert(err, qt.IsNil)
	const age = 100 * time.Millisecond
	time.Sleep(age)
	_, err = io.ReadFull(host, make([]byte, 7))
	c.Assert(err, qt.IsNil)
	c.Assert(Of(host).SinceData() >= age*9/10, qt.IsTrue)
}

// TestConnectionWithoutSocketIsGone guards against requests that are refused because their connection can't be examined.
func TestConnectionWithoutSocketIsGone(t *testing.T) {
	c := qt.New(t)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	c.Assert(Of(a).Gone(), qt.IsFalse)
	c.Assert(Of(a).SinceData(), qt.Equals, time.Duration(0))
	c.Assert(FromContext(context.Background()).Gone(), qt.IsFalse)
}

func BenchmarkGone(b *testing.B) {
	c := qt.New(b)
	_, host := pair(c)
	x := Of(host)
	for b.Loop() {
		x.Gone()
	}
}
