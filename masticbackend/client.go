// Package masticbackend passes requests to backend servers and their answers back, byte for
// byte. It owns the connections: it knows whether a byte of a request was written, reuses
// only connections on which nothing waits, binds each answer to its request by identifier,
// and closes a connection on which anything unexpected came. It never sends a request twice.
package masticbackend

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Defaults of the options.
const (
	// DefaultDialTimeout bounds the set-up of a connection; one within a region takes some
	// milliseconds, and a lost opening packet is sent again after a second.
	DefaultDialTimeout = 1200 * time.Millisecond
	// DefaultIdle is how long an unused connection is kept where the server states no time.
	DefaultIdle = 4 * time.Second
	// unackedTimeout is for how long written bytes may stay unacknowledged: connections may
	// fall silent without a reset.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find a silent connection that waits for an answer.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idlePerServer bounds the unused connections kept to one server.
	idlePerServer = 16
)

// Client keeps the connections to backend servers.
type Client struct {
	dialer   net.Dialer
	identify func(header map[string][]string) string
	idle     time.Duration

	mutex sync.Mutex
	free  map[string][]*connection
}

// Option sets one property of a Client.
type Option func(*Client)

// WithSource sets the IP number from which connections are made.
func WithSource(source netip.Addr) Option {
	return func(c *Client) { c.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0)) }
}

// WithIdentify sets how the identifier of the request is read from an answer's header; an
// empty one binds to any request.
func WithIdentify(f func(header map[string][]string) string) Option {
	return func(c *Client) { c.identify = f }
}

// New returns a Client without connections.
func New(options ...Option) *Client {
	c := &Client{
		dialer: net.Dialer{
			Timeout: DefaultDialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: boundUnacked,
		},
		identify: func(map[string][]string) string { return "" },
		idle:     DefaultIdle,
		free:     map[string][]*connection{},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// boundUnacked bounds for how long written bytes may stay unacknowledged.
func boundUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// take returns an unused connection to address, or nil.
func (c *Client) take(address string) *connection {
	for {
		n := c.pop(address)
		if n == nil {
			return nil
		}
		if time.Now().Before(n.idleUntil) && n.quiet() {
			return n
		}
		n.close()
	}
}

func (c *Client) pop(address string) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.free[address]
	if len(list) == 0 {
		return nil
	}
	n := list[len(list)-1]
	list[len(list)-1] = nil
	c.free[address] = list[:len(list)-1]
	return n
}

// put keeps n for another request.
func (c *Client) put(n *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.free[n.address]
	if len(list) >= idlePerServer {
		n.close()
		return
	}
	c.free[n.address] = append(list, n)
}

// Sweep closes the unused connections whose time is over.
func (c *Client) Sweep(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, list := range c.free {
		kept := list[:0]
		for _, n := range list {
			if now.Before(n.idleUntil) {
				kept = append(kept, n)
				continue
			}
			n.close()
		}
		clear(list[len(kept):])
		c.free[address] = kept
		if len(kept) == 0 {
			delete(c.free, address)
		}
	}
}

// connect returns a connection to address, an unused one if there is any.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	if n := c.take(address); n != nil {
		return n, nil
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConnection(address, conn.(*net.TCPConn)), nil
}
