package masticdaemon

import (
	"net"
	"net/http"
	"sync"
	"time"

	"masticladder/masticdocument"
)

// callerListener makes the connections of an http.Server obey the timeouts of the document in force, which
// change while the server runs. Timeouts of the server itself apply if they are shorter.
type callerListener struct {
	net.Listener
	limits func() (masticdocument.Limits, bool)
}

// limitCallers applies the limits to the connections of h.
func limitCallers(h *httpServer, limits func() (masticdocument.Limits, bool)) {
	h.listener = &callerListener{Listener: h.listener, limits: limits}
	h.server.ConnState = trackCallerConn
}

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	limits func() (masticdocument.Limits, bool)

	mutex sync.Mutex
	state http.ConnState
	// deadlines is the number of deadlines that were set in the state.
	deadlines int
}

// trackCallerConn implements http.Server.ConnState.
func trackCallerConn(c net.Conn, state http.ConnState) {
	if x, ok := c.(*callerConn); ok {
		x.setState(state)
	}
}

func (c *callerConn) setState(s http.ConnState) {
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
	return c.Conn.SetReadDeadline(t)
}

// timeout returns the timeout of the document for what the server sets deadline t for: first the header
// of a new connection, or the time without a request of an idle one and then the header. It is zero for
// everything else, such as bodies.
func (c *callerConn) timeout(t time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if t.IsZero() || c.state != http.StateNew && c.state != http.StateIdle {
		return 0
	}
	limits, ok := c.limits()
	if !ok {
		return 0
	}
	c.deadlines++
	if c.state == http.StateIdle && c.deadlines == 1 {
		return limits.IdleTimeout
	}
	return limits.HeaderTimeout
}
