// Package masticcaller tells the state of a caller's connection from the socket itself. The background read of net/http sees a
// close only when its goroutine runs, which a host without processor time may run a second late.
package masticcaller

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// States of a TCP connection in which the other side has closed it or is gone.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// Connection is the connection of a caller. A nil Connection is of unknown state.
type Connection struct{ raw syscall.RawConn }

// wrapper is a connection around another one, such as a *tls.Conn.
type wrapper interface{ NetConn() net.Conn }

// Of returns the connection below all wrappers of c, or nil if it has no socket.
func Of(c net.Conn) *Connection {
	for {
		w, ok := c.(wrapper)
		if !ok {
			break
		}
		c = w.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return &Connection{raw: raw}
}

type contextKey struct{}

// WithConnection implements http.Server.ConnContext: the contexts of the requests on c have its Connection.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, Of(c))
}

// FromContext returns the connection of the request with the context, or nil.
func FromContext(ctx context.Context) *Connection {
	c, _ := ctx.Value(contextKey{}).(*Connection)
	return c
}

// Gone reports whether the caller has closed the connection or reset it. It does not block and takes no bytes.
func (c *Connection) Gone() bool {
	if c == nil {
		return false
	}
	gone := false
	// A read through the raw connection would wait for the background read of net/http.
	err := c.raw.Control(func(fd uintptr) { gone = isClosed(int(fd)) })
	return gone || err != nil
}

// isClosed reports whether the other side has closed the socket.
func isClosed(fd int) bool {
	var one [1]byte
	n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil || n == 0:
		return true
	}
	// Bytes precede a close that may follow them.
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	switch info.State {
	case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}

// SinceData returns the time since the last bytes of the caller arrived, zero if it is unknown.
func (c *Connection) SinceData() time.Duration {
	if c == nil {
		return 0
	}
	var since time.Duration
	err := c.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if err != nil {
		return 0
	}
	return since
}
