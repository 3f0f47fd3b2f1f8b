package masticdaemon

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"

	"masticladder/masticbody"
)

// headMemory estimates the memory that the header of a request takes: none up to freeBytes, which the read buffer of the
// connection holds, then a multiple of its bytes and a number of bytes for each line.
type headMemory struct{ freeBytes, perByte, perLine int64 }

var (
	plainHeadMemory = headMemory{freeBytes: 4 << 10, perByte: 3, perLine: 200}
	// The lines of encrypted headers cannot be counted: each byte may be part of a line of a few bytes. TLS reads a
	// handshake and whole records.
	tlsHeadMemory = headMemory{freeBytes: 32 << 10, perByte: 20}
)

// defaultHeadBytes bounds the headers of all requests on a host without a memory limit.
const defaultHeadBytes = 64 << 20

// freeLines is the number of lines that are not counted.
const freeLines = 32

func (m headMemory) of(bytes, lines int64) int64 {
	return max(0, bytes-m.freeBytes)*m.perByte + max(0, lines-freeLines)*m.perLine
}

var errHeadMemory = errors.New("the headers of all requests exceed the limit of the host")

// limitHeads bounds the memory that the headers of all requests on the connections of h take, from their first byte until
// the request ends.
func limitHeads(h *httpServer, budget *masticbody.Budget, memory headMemory) {
	h.listener = &headListener{Listener: h.listener, budget: budget, memory: memory}
	h.server.ConnState = trackHeadConn
}

// headListener accepts connections as headConn.
type headListener struct {
	net.Listener
	budget *masticbody.Budget
	memory headMemory
}

// Accept returns the next connection.
func (l *headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: c, memory: l.memory, reserved: l.budget.Reserve(), inHead: true}, nil
}

// headConn is a connection whose headers are counted.
type headConn struct {
	net.Conn
	memory headMemory

	mutex    sync.Mutex
	reserved *masticbody.Reservation
	// inHead reports that a header is read, emptyLine that its current line is empty.
	inHead, emptyLine bool
	bytes, lines      int64
}

// trackHeadConn implements http.Server.ConnState.
func trackHeadConn(c net.Conn, state http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if x, ok := c.(*headConn); ok {
		x.setState(state)
	}
}

// setState ends the counting of a header when its request begins, and releases its memory when the request ends.
func (c *headConn) setState(s http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch s {
	case http.StateActive:
		c.inHead = false
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		c.inHead = s == http.StateIdle
		c.emptyLine, c.bytes, c.lines = false, 0, 0
		c.reserved.Release()
	}
}

// Read reads from the connection. It fails like a broken connection if there is no room for the header, so that the
// caller gets no response and may send the request to another host.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.count(p[:n]) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadMemory}
	}
	return n, err
}

// count counts p if it is part of a header. It reports false if there is no room.
func (c *headConn) count(p []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.inHead {
		return true
	}
	c.bytes += int64(len(p))
	if c.memory.perLine > 0 {
		c.countLines(p)
	}
	return c.reserved.Resize(c.memory.of(c.bytes, c.lines))
}

// countLines counts the lines of p up to the empty one that ends the header.
func (c *headConn) countLines(p []byte) {
	for _, b := range p {
		switch {
		case b == '\n' && c.emptyLine:
			c.inHead = false
			return
		case b == '\n':
			c.lines++
			c.emptyLine = true
		case b != '\r':
			c.emptyLine = false
		}
	}
}
