package masticdaemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"masticladder/masticdocument"
)

const (
	// closeIdleInterval is the time between two attempts to close all connections without a request.
	closeIdleInterval = 20 * time.Millisecond
	// lastReadTimeout bounds the last read of a connection or listener, which takes what has arrived.
	lastReadTimeout = 100 * time.Millisecond
)

// callerListener makes the connections of an http.Server obey the timeouts of the document in force, which
// change while the server runs. Timeouts of the server itself apply if they are shorter.
type callerListener struct {
	net.Listener
	// limits is nil if only the server's own timeouts apply.
	limits func() (masticdocument.Limits, bool)

	mutex sync.Mutex
	open  map[*callerConn]struct{}
}

// trackCallers applies the limits, if any, to the connections of h, and makes its shutdown answer what has arrived.
func trackCallers(h *httpServer, limits func() (masticdocument.Limits, bool)) {
	h.callers = &callerListener{Listener: h.listener, limits: limits, open: map[*callerConn]struct{}{}}
	h.listener = h.callers
	h.server.ConnState = trackCallerConn
}

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &callerConn{Conn: c, listener: l, closeNewAt: time.Now().Add(maxRequestDelay)}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[x] = struct{}{}
	return x, nil
}

// closeIdle closes the connections without a request, and returns the number of connections that were open.
func (l *callerListener) closeIdle() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.open {
		c.closeIfIdle()
	}
	return len(l.open)
}

func (l *callerListener) remove(c *callerConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, c)
}

// drainCallers accepts no more connections, and returns once all are closed: each when its running request has been
// answered. Unlike http.Server.Shutdown, it leaves no request without an answer that has arrived and was not read yet.
func (s *httpServer) drainCallers(ctx context.Context) error {
	s.queue.stop()
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for !s.queue.isEmpty() || s.callers.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.callers.closeIdle()
		}
	}
	return nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener *callerListener
	// closeNewAt is when the connection counts as idle although it has had no request.
	closeNewAt time.Time

	mutex sync.Mutex
	state http.ConnState
	// deadlines is the number of deadlines that were set in the state; readDeadline is the last.
	deadlines    int
	readDeadline time.Time
	// received reports bytes after the last write: those of a request.
	received bool
	// closing means that the reader is to close the connection unless a request has arrived.
	closing bool
}

// Read reads from the connection. It fails on an idle connection that is to be closed and has no bytes of a request.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.setReceived(true)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.interrupted() {
			return n, err
		}
		n, err = c.Conn.Read(p)
		if n > 0 {
			c.setReceived(true)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.isIdle() {
			c.restoreDeadline()
			return n, err
		}
		c.restoreDeadline()
	}
}

// Write writes to the connection. What is read afterwards belongs to the next request.
func (c *callerConn) Write(p []byte) (int, error) {
	c.setReceived(false)
	return c.Conn.Write(p)
}

// CloseIfIdle closes the connection when it has no bytes of a request. A deadline that the server sets at the same time
// may undo this.
func (c *callerConn) CloseIfIdle() { c.closeIfIdle() }

func (c *callerConn) setReceived(received bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.received = received
}

// closeIfIdle interrupts the reader of an idle connection, which closes it unless it finds a request. A deadline that the
// server sets at the same time may undo this.
func (c *callerConn) closeIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.idle() {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

// interrupted reports whether closeIfIdle has ended a read, and sets the deadline of the last one.
func (c *callerConn) interrupted() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closing {
		return false
	}
	c.closing = false
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
	return true
}

func (c *callerConn) restoreDeadline() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

func (c *callerConn) isIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.idle()
}

func (c *callerConn) idle() bool {
	return !c.received && (c.state == http.StateIdle || c.state == http.StateNew && time.Now().After(c.closeNewAt))
}

// trackCallerConn implements http.Server.ConnState.
func trackCallerConn(c net.Conn, state http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if x, ok := c.(*callerConn); ok {
		x.setState(state)
	}
}

func (c *callerConn) setState(s http.ConnState) {
	if s == http.StateClosed || s == http.StateHijacked {
		c.listener.remove(c)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state, c.deadlines = s, 0
}

// SetReadDeadline sets the deadline, or an earlier one where the document states a shorter timeout.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if timeout := c.timeout(t); timeout > 0 {
		if limited := time.Now().Add(timeout); limited.Before(t) {
			t = limited
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readDeadline, c.closing = t, false
	return c.Conn.SetReadDeadline(t)
}

// timeout returns the timeout of the document for what the server sets deadline t for: first the header
// of a new connection, or the time without a request of an idle one and then the header. It is zero for
// everything else, such as bodies.
func (c *callerConn) timeout(t time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.listener.limits == nil || t.IsZero() || c.state != http.StateNew && c.state != http.StateIdle {
		return 0
	}
	limits, ok := c.listener.limits()
	if !ok {
		return 0
	}
	c.deadlines++
	if c.state == http.StateIdle && c.deadlines == 1 {
		return limits.IdleTimeout
	}
	return limits.HeaderTimeout
}

// NetConn returns the connection below, whose socket masticcaller examines.
func (c *callerConn) NetConn() net.Conn { return c.Conn }
