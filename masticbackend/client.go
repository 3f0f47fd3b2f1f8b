// Package masticbackend forwards requests to backend servers and returns their answers
// unchanged. It manages the connections itself: it records whether a byte of a request was
// written, reuses only connections without unread data, matches each answer to its request by
// identifier, and closes a connection that received unexpected data. It never sends a request
// twice. It is for requests of any protocol and is used with masticrelay; masticengine is the
// client for the OpenAI-compatible requests of masticgate.
package masticbackend

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"masticladder/masticbody"
)

// Timeouts and limits of a Client. No option changes them.
const (
	// DefaultDialTimeout is the timeout for establishing a connection. Within a region that
	// takes a few milliseconds; a lost SYN packet is retransmitted after one second.
	DefaultDialTimeout = 1200 * time.Millisecond
	// DefaultIdleTimeout is the idle timeout of a connection if the server states none.
	DefaultIdleTimeout = 4 * time.Second
	// unackedTimeout is the time after which unacknowledged data closes a connection, because
	// a connection may be lost without a reset.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval configure TCP keep-alive, which detects a lost
	// connection while a request waits for its answer.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxIdlePerServer is the maximum number of idle connections to one server.
	maxIdlePerServer = 16
)

// Client manages a pool of connections to backend servers. It is safe for concurrent use.
type Client struct {
	dialer      net.Dialer
	identify    func(header map[string][]string) string
	idleTimeout time.Duration
	// heads bounds the memory of the heads of all answers; nil means no limit.
	heads *masticbody.Budget

	mutex     sync.Mutex
	idleConns map[string][]*connection
}

// Option sets one property of a Client.
type Option func(*Client)

// WithSource sets the source IP address of connections.
func WithSource(source netip.Addr) Option {
	return func(c *Client) { c.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0)) }
}

// WithIdentify sets the function that reads the request's identifier from an answer's header.
// An answer with an empty identifier is taken for the answer to a request only if nothing else was received on its
// connection before.
func WithIdentify(f func(header map[string][]string) string) Option {
	return func(c *Client) { c.identify = f }
}

// WithHeadBudget sets the budget of the memory that the heads of all answers take, beyond some KiB each, until they are
// closed.
func WithHeadBudget(b *masticbody.Budget) Option { return func(c *Client) { c.heads = b } }

// New returns a Client without connections.
func New(options ...Option) *Client {
	c := &Client{
		dialer: net.Dialer{
			Timeout: DefaultDialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: setUserTimeout,
		},
		identify:    func(map[string][]string) string { return "" },
		idleTimeout: DefaultIdleTimeout,
		idleConns:   map[string][]*connection{},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// setUserTimeout sets TCP_USER_TIMEOUT to unackedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// getIdle returns a usable idle connection for q that has not carried a request with its identifier, or nil: on one
// that has, a second copy of the earlier answer could not be told from the answer. It closes unusable ones.
func (c *Client) getIdle(q *Request) *connection {
	for {
		n := c.popIdle(q)
		if n == nil {
			return nil
		}
		if time.Now().Before(n.idleDeadline) && n.isReusable() {
			return n
		}
		n.close()
	}
}

// popIdle removes an idle connection for q from the pool: preferably a confirmed one if q needs one, and one that is
// not confirmed otherwise, so that requests leave each other the ones that they need.
func (c *Client) popIdle(q *Request) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idleConns[q.Address]
	i := newestFor(list, q)
	if i < 0 {
		return nil
	}
	n := list[i]
	c.idleConns[q.Address] = slices.Delete(list, i, i+1)
	return n
}

// newestFor returns the index of the newest connection of those that suit q best, or -1.
func newestFor(list []*connection, q *Request) int {
	other := -1
	for i, n := range slices.Backward(list) {
		switch {
		case n.hasCarried(q.ID):
		case n.confirmed == (q.Confirm != nil):
			return i
		case other < 0:
			other = i
		}
	}
	return other
}

// putIdle adds n to the pool, or closes n if the pool has maxIdlePerServer connections to its
// server.
func (c *Client) putIdle(n *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idleConns[n.address]
	if len(list) >= maxIdlePerServer {
		n.close()
		return
	}
	c.idleConns[n.address] = append(list, n)
}

// putUnused returns a connection to the pool on which nothing was sent; a new one is closed, since the time that its server keeps
// it is not known.
func (c *Client) putUnused(n *connection) {
	if n.idleDeadline.IsZero() {
		n.head.memory.Release()
		n.close()
		return
	}
	c.putIdle(n)
}

// CloseIdle closes the idle connections whose idle timeout has passed.
func (c *Client) CloseIdle(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, list := range c.idleConns {
		kept := list[:0]
		for _, n := range list {
			if now.Before(n.idleDeadline) {
				kept = append(kept, n)
				continue
			}
			n.close()
		}
		clear(list[len(kept):])
		c.idleConns[address] = kept
		if len(kept) == 0 {
			delete(c.idleConns, address)
		}
	}
}

// IsRefused reports whether err means that a connection was refused, so that no process listened at
// its address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// acquire returns an idle connection for q if there is one, else a new one. If q needs a confirmed one and has a
// check, the connection of the check is used instead.
func (c *Client) acquire(ctx context.Context, q *Request) (*connection, error) {
	n := c.getIdle(q)
	if q.Confirm != nil && (n == nil || !n.confirmed) {
		if n != nil {
			c.putIdle(n)
		}
		if err := q.Confirm(ctx); err != nil {
			return nil, err
		}
		n = c.getIdle(q)
	}
	if n != nil {
		n.reused = true
		return n, nil
	}
	return c.dial(ctx, q)
}

// dial returns a new connection to the server of q.
func (c *Client) dial(ctx context.Context, q *Request) (*connection, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", q.Address)
	if err != nil {
		return nil, err
	}
	return newConnection(q.Address, conn.(*net.TCPConn), c.heads.Reserve()), nil
}
