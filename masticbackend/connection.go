package masticbackend

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"masticladder/masticbody"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// idleMargin is subtracted from the server's idle timeout, so that this host closes an
	// idle connection before the server does.
	idleMargin = 700 * time.Millisecond
)

// connection is a connection to a backend server. It is used by one request at a time.
type connection struct {
	address      string
	tcp          *net.TCPConn
	head         *headReader
	reader       *bufio.Reader
	idleDeadline time.Time
	// reused reports that the server has answered on the connection before.
	reused bool
	// confirmed reports that the process at the other end is known to be the expected one.
	confirmed bool
	// carried are hashes of the identifiers of the last requests on the connection, the next one at carriedCount
	// modulo its length. A server may repeat its answer to any of them.
	carried      [carriedRequests]uint64
	carriedCount int
}

// carriedRequests is the number of requests that a connection remembers.
const carriedRequests = 16

// record records that the connection carries the request with an identifier.
func (n *connection) record(id string) {
	if id == "" {
		return
	}
	n.carried[n.carriedCount%carriedRequests] = xxhash.Sum64String(id)
	n.carriedCount++
}

// hasCarried reports whether the connection has carried a request with the identifier.
func (n *connection) hasCarried(id string) bool {
	return slices.Contains(n.carried[:min(n.carriedCount, carriedRequests)], xxhash.Sum64String(id))
}

func newConnection(address string, tcp *net.TCPConn, memory *masticbody.Reservation) *connection {
	head := &headReader{tcp: tcp, memory: memory}
	return &connection{address: address, tcp: tcp, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}
}

func (n *connection) close() { _ = n.tcp.Close() }

// isReusable reports whether the connection is open and has no unread data. Data received between
// two requests belongs to neither of them.
func (n *connection) isReusable() bool {
	if n.reader.Buffered() > 0 {
		return false
	}
	raw, err := n.tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

// idleTimeoutOf returns the idle timeout of a connection after an answer with header h:
// defaultTimeout unless the server states its own in Keep-Alive.
func idleTimeoutOf(h http.Header, defaultTimeout time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultTimeout
}
