package masticdaemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"masticladder/masticdocument"
)

// closeIdleInterval is the time between two searches for idle connections while a server shuts down.
const closeIdleInterval = 20 * time.Millisecond

// callerListener accepts connections that obey the timeouts of the document in force, which change while the
// server runs. Timeouts of the server itself apply if they are shorter. It closes them one by one when the server
// shuts down.
type callerListener struct {
	net.Listener
	// limits is nil if only the server's own timeouts apply.
	limits func() (masticdocument.Limits, bool)

	mutex   sync.Mutex
	open    map[*callerConn]struct{}
	closing bool
}

// trackCallers makes h accept its connections with a callerListener, which applies the limits, if any.
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
	x := &callerConn{Conn: c, listener: l, acceptedAt: time.Now()}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[x] = struct{}{}
	return x, nil
}

// shutdown stops accepting, closes each connection once it is idle, and returns when none is left or with the error of
// ctx. Unlike http.Server.Shutdown it serves a request that was read before its connection could be closed.
func (l *callerListener) shutdown(ctx context.Context) error {
	// Closing fails if the listener is closed already.
	_ = l.Close()
	l.beginClosing()
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for l.closeIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeIdle closes the idle connections, also those that become idle later, and returns the number of the others.
func (l *callerListener) closeIdle(now time.Time) int {
	for _, c := range l.connections() {
		c.closeIfIdle(now)
	}
	return len(l.connections())
}

func (l *callerListener) connections() []*callerConn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	out := make([]*callerConn, 0, len(l.open))
	for c := range l.open {
		out = append(out, c)
	}
	return out
}

func (l *callerListener) beginClosing() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closing = true
}

func (l *callerListener) isClosing() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.closing
}

func (l *callerListener) remove(c *callerConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, c)
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener   *callerListener
	acceptedAt time.Time

	mutex sync.Mutex
	state http.ConnState
	// deadlines is the number of deadlines that were set in the state.
	deadlines int
	// pending reports that a part of a request was read in the state.
	pending bool
	closed  bool
}

// trackCallerConn implements http.Server.ConnState.
func trackCallerConn(c net.Conn, state http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if x, ok := c.(*callerConn); ok {
		x.setState(state)
		trackHeadConn(x.Conn, state)
	}
}

func (c *callerConn) setState(s http.ConnState) {
	c.mutex.Lock()
	c.state, c.deadlines, c.pending = s, 0, false
	c.mutex.Unlock()
	if s == http.StateIdle && c.listener.isClosing() {
		c.closeIfIdle(time.Now())
	}
}

// closeIfIdle closes the connection unless a request runs or is being read. A new one has maxRequestDelay for its first
// request.
func (c *callerConn) closeIfIdle(now time.Time) {
	if c.claimIdle(now) {
		_ = c.Close()
	}
}

// claimIdle reports whether the connection is idle. If so, no request is read from it any more.
func (c *callerConn) claimIdle(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	idle := c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.acceptedAt) > maxRequestDelay
	c.closed = c.closed || idle && !c.pending
	return c.closed
}

// Read reads from the connection. What was read after the connection was found idle is dropped.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.keepRead() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *callerConn) keepRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending = c.pending || c.state == http.StateNew || c.state == http.StateIdle
	return !c.closed
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// SetReadDeadline sets the deadline, or an earlier one where the document states a shorter timeout.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if timeout := c.timeout(t); timeout > 0 {
		if limited := time.Now().Add(timeout); limited.Before(t) {
			t = limited
		}
	}
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
