package masticbackend

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the buffer of a connection for what the server sends.
	readBuffer = 4 << 10
	// idleMargin is how much sooner than the server this host gives up an unused connection.
	idleMargin = 700 * time.Millisecond
)

// connection is one connection to a backend server. One request uses it at a time.
type connection struct {
	address   string
	tcp       *net.TCPConn
	reader    *bufio.Reader
	idleUntil time.Time
}

func newConnection(address string, tcp *net.TCPConn) *connection {
	return &connection{address: address, tcp: tcp, reader: bufio.NewReaderSize(tcp, readBuffer)}
}

func (n *connection) close() { _ = n.tcp.Close() }

// quiet reports that the connection is open and that nothing waits to be read. What comes
// between two requests belongs to neither.
func (n *connection) quiet() bool {
	if n.reader.Buffered() > 0 {
		return false
	}
	raw, err := n.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// idleFor returns how long the connection may stay unused after an answer with header h.
func idleFor(h http.Header, unstated time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return unstated
}
