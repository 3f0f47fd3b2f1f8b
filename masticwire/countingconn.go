package masticwire

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// countingConn counts the bytes of a TCP connection, including TLS overhead.
type countingConn struct {
	net.Conn
	in, out metrics.Counter
}

func (w *Wire) countBytes(c net.Conn) net.Conn {
	return &countingConn{Conn: c, in: w.bytesIn, out: w.bytesOut}
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Inc(int64(n))
	return n, err
}
