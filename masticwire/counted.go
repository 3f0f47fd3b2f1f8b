package masticwire

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// countedConn counts the bytes of a TCP connection, TLS included.
type countedConn struct {
	net.Conn
	in, out metrics.Counter
}

func (w *Wire) counted(c net.Conn) net.Conn {
	return &countedConn{Conn: c, in: w.bytesIn, out: w.bytesOut}
}

// Read reads and counts.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Inc(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Inc(int64(n))
	return n, err
}
