package masticengine

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection is sealed after a failed request")

// trackedConn counts the writes that were started. Once sealed, it rejects writes.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int64
	sealed bool
}

// Write writes b, or returns errSealed if the connection is sealed.
func (c *trackedConn) Write(b []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

func (c *trackedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *trackedConn) writeCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection, makes later writes fail and returns the number of writes started
// before.
func (c *trackedConn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	n := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return n
}

// connUse is a connection assigned to a request, with the number of writes started before.
type connUse struct {
	conn         *trackedConn
	writesBefore int64
}

// sendTrace records the connections that net/http assigned to one request.
type sendTrace struct {
	mu sync.Mutex
	// untracked is set if a connection is not a trackedConn; the request then counts as sent.
	untracked bool
	uses      []connUse
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
	t.uses = append(t.uses, connUse{conn: tracked, writesBefore: tracked.writeCount()})
}

// stop prevents further writes of the request and reports whether any byte of it may have been
// sent.
func (t *sendTrace) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.untracked
	for _, u := range t.uses {
		if u.conn.seal() > u.writesBefore {
			sent = true
		}
	}
	return sent
}
