package masticwire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"masticladder/masticerror"
)

// Client keeps one connection to another host, made when it is needed.
type Client struct {
	wire    *Wire
	address string
	dialing chan struct{}
	outbox  *outbox

	mutex     sync.Mutex
	closed    bool
	session   *yamux.Session
	conn      net.Conn
	silent    int
	answered  bool
	pause     time.Duration
	nextDial  time.Time
	lastError error
}

// Client returns a client of the host at address, which is IP:port. It does not connect.
func (w *Wire) Client(address string) (*Client, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	c := &Client{wire: w, address: address, dialing: make(chan struct{}, 1)}
	c.outbox = newOutbox(c)
	return c, nil
}

// Address returns the other host's address.
func (c *Client) Address() string { return c.address }

// Close ends the connection and everything on it.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	c.drop()
	c.mutex.Unlock()
	c.outbox.close()
}

// connected returns the session, dialling unless the last failure was a moment ago.
// Its errors have kind noQuorum: nothing was sent.
func (c *Client) connected(ctx context.Context) (*yamux.Session, error) {
	select {
	case c.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, masticerror.Wrap(ctx.Err(), masticerror.KindNoQuorum, "connect to %s", c.address)
	}
	defer func() { <-c.dialing }()
	if s, err := c.existing(time.Now()); s != nil || err != nil {
		return s, err
	}
	conn, session, err := c.dial(ctx)
	return c.dialled(time.Now(), conn, session, err)
}

func (c *Client) existing(now time.Time) (*yamux.Session, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, masticerror.New(masticerror.KindNoQuorum, "the client of %s is closed", c.address)
	}
	if c.session != nil && !c.session.IsClosed() {
		return c.session, nil
	}
	if c.session != nil && !c.answered {
		c.backOff(now)
	}
	c.drop()
	if now.Before(c.nextDial) {
		return nil, masticerror.New(masticerror.KindNoQuorum, "connect to %s again in %v after %v", c.address, c.nextDial.Sub(now), c.lastError)
	}
	return nil, nil
}

func (c *Client) dialled(now time.Time, conn net.Conn, session *yamux.Session, err error) (*yamux.Session, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.lastError = err
		c.backOff(now)
		return nil, masticerror.Wrap(err, masticerror.KindNoQuorum, "connect to %s", c.address)
	}
	c.conn, c.session, c.silent, c.answered = conn, session, 0, false
	if c.closed {
		c.drop()
		return nil, masticerror.New(masticerror.KindNoQuorum, "the client of %s is closed", c.address)
	}
	return session, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, *yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wire.dial)
	defer cancel()
	dialer := net.Dialer{}
	if c.wire.source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.wire.source, 0))
	}
	plain, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, nil, err
	}
	secured, err := c.secure(ctx, c.wire.counted(plain))
	if err != nil {
		_ = plain.Close()
		return nil, nil, err
	}
	session, err := yamux.Client(secured, c.wire.sessionConfig())
	if err != nil {
		_ = plain.Close()
		return nil, nil, err
	}
	return plain, session, nil
}

func (c *Client) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if c.wire.security == nil {
		return conn, nil
	}
	config, err := c.wire.security.config(x509.ExtKeyUsageServerAuth)
	if err != nil {
		return nil, err
	}
	t := tls.Client(conn, config)
	return t, t.HandshakeContext(ctx)
}

// backOff sets the time of the next dial, with jitter; the mutex is held.
func (c *Client) backOff(now time.Time) {
	c.pause = min(max(2*c.pause, c.wire.backoffMin), c.wire.backoffMax)
	c.nextDial = now.Add(c.pause/2 + rand.N(c.pause/2+1))
}

// drop closes the connection first, so that a blocked write ends; the mutex is held.
func (c *Client) drop() {
	if c.session == nil {
		return
	}
	_ = c.conn.Close()
	_ = c.session.Close()
	c.session, c.conn = nil, nil
}

// heard records that the other host answered on s.
func (c *Client) heard(s *yamux.Session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s == c.session {
		c.silent = 0
		c.pause = 0
		c.answered = true
	}
}

// unheard drops a connection on which several calls in a row had no answer.
func (c *Client) unheard(s *yamux.Session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s != c.session {
		return
	}
	c.silent++
	if c.silent >= maxSilentCalls {
		c.drop()
	}
}
