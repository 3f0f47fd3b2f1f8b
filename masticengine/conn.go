package masticengine

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection is sealed after a failed request")

// trackedConn counts the writes that were begun, and can refuse all later ones.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int64
	sealed bool
}

// Write writes b unless the connection is sealed.
func (c *trackedConn) Write(b []byte) (int, error) {
	if !c.begin() {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

func (c *trackedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *trackedConn) begun() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses all later writes and returns the number of those begun before.
func (c *trackedConn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	n := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return n
}

// connMark is a connection given to a request, with the writes begun before.
type connMark struct {
	conn   *trackedConn
	before int64
}

// sendTrace records the connections that one request was given.
type sendTrace struct {
	mu sync.Mutex
	// untracked is set for a connection that cannot be watched; it counts as written to.
	untracked bool
	marks     []connMark
}

func (t *sendTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *sendTrace) gotConn(i httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := i.Conn
	if s, ok := c.(*tls.Conn); ok {
		c = s.NetConn()
	}
	tracked, ok := c.(*trackedConn)
	if !ok {
		t.untracked = true
		return
	}
	t.marks = append(t.marks, connMark{conn: tracked, before: tracked.begun()})
}

// stop makes sure that nothing more is sent, and reports whether a byte of the
// request may have been.
func (t *sendTrace) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.untracked
	for _, m := range t.marks {
		if m.conn.seal() > m.before {
			sent = true
		}
	}
	return sent
}
