package masticwire

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// countingConn counts the bytes of a TCP connection, including TLS overhead, and records when some arrived.
type countingConn struct {
	net.Conn
	in, out metrics.Counter
	// arrived is when bytes arrived last.
	arrived atomic.Pointer[time.Time]
}

// arrivedAt returns when bytes arrived last, the zero time if none have.
func (c *countingConn) arrivedAt() time.Time {
	if at := c.arrived.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (w *Wire) countBytes(c net.Conn) *countingConn {
	return &countingConn{Conn: c, in: w.bytesIn, out: w.bytesOut}
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Inc(int64(n))
	if n > 0 {
		now := time.Now()
		c.arrived.Store(&now)
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Inc(int64(n))
	return n, err
}
