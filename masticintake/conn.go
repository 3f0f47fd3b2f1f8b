package masticintake

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"
)

// phase is what a connection waits for.
type phase int

const (
	// phaseNew is that of a connection whose first request has not begun or whose header is read.
	phaseNew phase = iota
	// phaseReceiving is that of a request whose body is read.
	phaseReceiving
	// phaseRunning is that of a complete request.
	phaseRunning
	phaseIdle
)

// Estimate of the memory of a header beyond freeHeadBytes, which are in the read buffer of the connection, and freeItems.
// An item is a line or an element of a list: net/http makes a map of the names in a Trailer field.
const (
	freeHeadBytes  = 4 << 10
	headByteFactor = 3
	itemBytes      = 200
	freeItems      = 32
)

// freeElements is the number of elements of lists that are not counted as items: callers state the parts of their prompts
// in lists, which take less than a map.
const freeElements = 64

// Memory of the bytes of a connection before its first complete message: many streams have receive buffers with room for
// more, one long message grows in its own buffer only.
const (
	firstMessageFactor = 3
	longMessageBytes   = 4 << 20
)

// firstMessageMemory returns the memory of n bytes before the first complete message.
func firstMessageMemory(n int64) int64 {
	return firstMessageFactor*min(n, longMessageBytes) + max(0, n-longMessageBytes)*5/4
}

// ErrNoRoom is the error of a read that the memory of the listeners has no room for.
var ErrNoRoom = errors.New("the connections of all listeners take the memory that the host has for them")

// Conn is a counted connection.
type Conn struct {
	net.Conn
	share  *Share
	source string

	// The fields below are guarded by the lock of the guard.
	counted, evicted bool
	// asked reports that the connection was asked to close when idle.
	asked                            bool
	phase                            phase
	sequence                         int64
	waitsSince                       time.Time
	fixedBytes, headBytes, bodyBytes int64
	inHead, emptyLine                bool
	bytes, lines, elements           int64
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// idleCloser is a connection that closes if it has no bytes of a request.
type idleCloser interface{ CloseIfIdle() }

// raw returns the connection below TLS.
func (c *Conn) raw() net.Conn {
	if t, ok := c.Conn.(*tls.Conn); ok {
		return t.NetConn()
	}
	return c.Conn
}

// evict closes the connection. It reports false if the connection was only asked to close, which lasts some time. The
// lock is held.
func (c *Conn) evict() bool {
	if x, ok := c.raw().(idleCloser); ok && c.phase == phaseIdle {
		c.asked = true
		x.CloseIfIdle()
		return false
	}
	c.evicted = true
	c.share.guard.usage.Evicted++
	c.share.remove(c)
	// The close of a TLS connection would write to it.
	_ = c.raw().SetDeadline(time.Now())
	_ = c.raw().Close()
	return true
}

// Read reads from the connection. It fails like a broken connection if there is no room for a header, so that the caller
// gets no response and may send the request to another host.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.countHead(p[:n]) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrNoRoom}
	}
	return n, err
}

// CloseWrite closes the sending side if the connection below can.
func (c *Conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}

// Close closes the connection and counts it no more.
func (c *Conn) Close() error {
	c.close()
	return c.Conn.Close()
}

func (c *Conn) close() {
	c.share.guard.mutex.Lock()
	defer c.share.guard.mutex.Unlock()
	c.share.remove(c)
}

// SetState follows the state of the connection in its http.Server.
func (c *Conn) SetState(s http.ConnState) {
	g := c.share.guard
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch s {
	case http.StateActive:
		c.inHead, c.asked, c.waitsSince = false, false, time.Now()
		c.phase = phaseReceiving
	case http.StateIdle:
		c.phase, c.waitsSince = phaseIdle, time.Now()
		c.resetHead()
		c.share.give(c.bodyBytes)
		c.bodyBytes = 0
	case http.StateClosed, http.StateHijacked:
		c.share.remove(c)
	}
}

// resetHead prepares for the next header. The lock is held.
func (c *Conn) resetHead() {
	c.share.guard.usage.HeadBytes -= c.headBytes
	c.share.give(c.headBytes)
	c.headBytes = 0
	c.inHead, c.emptyLine, c.bytes, c.lines, c.elements = true, false, 0, 0, 0
}

// Complete records that the connection has sent a complete request, and is not closed before its end.
func (c *Conn) Complete() {
	c.share.guard.mutex.Lock()
	defer c.share.guard.mutex.Unlock()
	if !c.counted {
		return
	}
	if c.share.limits.OtherProtocol && c.phase == phaseNew {
		c.share.give(c.bodyBytes)
		c.bodyBytes = 0
	}
	c.phase = phaseRunning
}

// FirstMessage reports whether the connection of another protocol has not sent a complete message. What it reads is counted.
func (c *Conn) FirstMessage() bool {
	c.share.guard.mutex.Lock()
	defer c.share.guard.mutex.Unlock()
	return c.phase == phaseNew
}

// countHead counts p if it is part of a header. It reports false if there is no room.
func (c *Conn) countHead(p []byte) bool {
	g := c.share.guard
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if c.evicted {
		return false
	}
	if c.share.limits.OtherProtocol && c.phase == phaseNew {
		before := firstMessageMemory(c.bytes)
		c.bytes += int64(len(p))
		return c.grow(firstMessageMemory(c.bytes) - before)
	}
	if !c.inHead {
		return true
	}
	if c.phase == phaseIdle {
		c.phase, c.waitsSince = phaseNew, time.Now()
	}
	c.bytes += int64(len(p))
	c.countItems(p)
	n := max(0, c.bytes-freeHeadBytes)*headByteFactor + max(0, c.lines+max(0, c.elements-freeElements)-freeItems)*itemBytes
	return c.resizeHead(n)
}

// resizeHead takes the memory of a header of n bytes, for which it closes others. The lock is held.
func (c *Conn) resizeHead(n int64) bool {
	g := c.share.guard
	more := n - c.headBytes
	if more <= 0 {
		return true
	}
	if !c.counted {
		return false
	}
	for g.usage.HeadBytes+more > g.limits.HeadBytes || !c.share.take(more) {
		v := c.share.victim(c, false)
		if v == nil || !v.evict() {
			g.usage.RefusedHeads++
			return false
		}
	}
	c.headBytes = n
	g.usage.HeadBytes += more
	return true
}

// Grow takes n bytes more for a body, for which it closes others. It reports false if there is no room.
func (c *Conn) Grow(n int64) bool {
	c.share.guard.mutex.Lock()
	defer c.share.guard.mutex.Unlock()
	return c.grow(n)
}

// grow is Grow with the lock held.
func (c *Conn) grow(n int64) bool {
	if !c.counted {
		return false
	}
	for !c.share.take(n) {
		v := c.share.victim(c, false)
		if v == nil || !v.evict() {
			c.share.guard.usage.RefusedBodies++
			return false
		}
	}
	c.bodyBytes += n
	return true
}

// Shrink returns n bytes of a body.
func (c *Conn) Shrink(n int64) {
	c.share.guard.mutex.Lock()
	defer c.share.guard.mutex.Unlock()
	if n = min(n, c.bodyBytes); c.counted {
		c.bodyBytes -= n
		c.share.give(n)
	}
}

// countItems counts the lines and elements of p up to the empty line that ends the header. The lock is held.
func (c *Conn) countItems(p []byte) {
	for _, b := range p {
		switch {
		case b == '\n' && c.emptyLine:
			c.inHead = false
			return
		case b == '\n':
			c.lines++
			c.emptyLine = true
		case b == ',':
			c.elements++
			c.emptyLine = false
		case b != '\r':
			c.emptyLine = false
		}
	}
}
