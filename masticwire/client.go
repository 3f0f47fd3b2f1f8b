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

// Client manages one connection to another host, which is established on first use. It is safe
// for concurrent use.
type Client struct {
	wire     *Wire
	address  string
	dialLock chan struct{}
	outbox   *outbox

	mutex     sync.Mutex
	closed    bool
	session   *yamux.Session
	conn      *countingConn
	silence   silence
	answered  bool
	backoff   time.Duration
	nextDial  time.Time
	lastError error
}

// Client returns a client for the host at address, an IP:port. It does not connect.
func (w *Wire) Client(address string) (*Client, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	c := &Client{wire: w, address: address, dialLock: make(chan struct{}, 1)}
	c.outbox = newOutbox(c)
	return c, nil
}

// Address returns the other host's address.
func (c *Client) Address() string { return c.address }

// Close closes the connection with all its streams.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	c.closeSession()
	c.mutex.Unlock()
	c.outbox.close()
}

// connect returns the current session or dials a new one. It does not dial during the back-off
// after a failure. Its errors have kind noQuorum, because nothing was sent.
func (c *Client) connect(ctx context.Context) (*yamux.Session, error) {
	select {
	case c.dialLock <- struct{}{}:
	case <-ctx.Done():
		return nil, masticerror.Wrap(ctx.Err(), masticerror.KindNoQuorum, "connect to %s", c.address)
	}
	defer func() { <-c.dialLock }()
	if s, err := c.currentSession(time.Now()); s != nil || err != nil {
		return s, err
	}
	conn, session, err := c.dial(ctx)
	return c.finishDial(time.Now(), conn, session, err)
}

// currentSession returns the open session, nil if a new one may be dialled, or an error if the
// client is closed or in its back-off.
func (c *Client) currentSession(now time.Time) (*yamux.Session, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, masticerror.New(masticerror.KindNoQuorum, "the client of %s is closed", c.address)
	}
	if c.session != nil && !c.session.IsClosed() {
		return c.session, nil
	}
	if c.session != nil && !c.answered {
		c.delayNextDial(now)
	}
	c.closeSession()
	if now.Before(c.nextDial) {
		return nil, masticerror.Wrap(c.lastError, masticerror.KindNoQuorum, "connect to %s again in %v", c.address, c.nextDial.Sub(now))
	}
	return nil, nil
}

// finishDial stores the session that was dialled, or starts the back-off if err is not nil.
func (c *Client) finishDial(now time.Time, conn *countingConn, session *yamux.Session, err error) (*yamux.Session, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.lastError = err
		c.delayNextDial(now)
		return nil, masticerror.Wrap(err, masticerror.KindNoQuorum, "connect to %s", c.address)
	}
	c.conn, c.session, c.silence, c.answered = conn, session, silence{}, false
	if c.closed {
		c.closeSession()
		return nil, masticerror.New(masticerror.KindNoQuorum, "the client of %s is closed", c.address)
	}
	return session, nil
}

func (c *Client) dial(ctx context.Context) (*countingConn, *yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wire.dialTimeout)
	defer cancel()
	dialer := net.Dialer{}
	if c.wire.source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.wire.source, 0))
	}
	plain, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, nil, err
	}
	counting := c.wire.countBytes(plain)
	secured, err := c.handshake(ctx, counting)
	if err != nil {
		_ = plain.Close()
		return nil, nil, err
	}
	session, err := yamux.Client(secured, c.wire.sessionConfig())
	if err != nil {
		_ = plain.Close()
		return nil, nil, err
	}
	return counting, session, nil
}

func (c *Client) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
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

// delayNextDial doubles the back-off within its limits and sets the time of the next dial, with
// jitter. The caller holds the mutex.
func (c *Client) delayNextDial(now time.Time) {
	c.backoff = min(max(2*c.backoff, c.wire.backoffMin), c.wire.backoffMax)
	c.nextDial = now.Add(c.backoff/2 + rand.N(c.backoff/2+1))
}

// closeSession closes the connection before the session, so that a blocked write ends. The caller
// holds the mutex.
func (c *Client) closeSession() {
	if c.session == nil {
		return
	}
	_ = c.conn.Close()
	_ = c.session.Close()
	c.session, c.conn = nil, nil
}

// recordAnswer records that the other host answered on s, and resets the back-off.
func (c *Client) recordAnswer(s *yamux.Session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s == c.session {
		c.silence = silence{}
		c.backoff = 0
		c.answered = true
	}
}

// recordUnanswered records a call without an answer on s that was started at startedAt. It closes the
// connection if nothing arrives on it any more.
func (c *Client) recordUnanswered(s *yamux.Session, startedAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s != c.session {
		return
	}
	var dead bool
	if c.silence, dead = c.silence.withUnanswered(time.Now(), startedAt, c.conn.arrivedAt()); dead {
		c.closeSession()
	}
}

// Silence returns the time since the first call of a row that got no answer, if nothing has arrived on the
// connection since then, else zero. Without a connection it is zero.
func (c *Client) Silence() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.session == nil || c.silence.unanswered == 0 || c.conn.arrivedAt().After(c.silence.since) {
		return 0
	}
	return time.Since(c.silence.since)
}

// IsConnected reports whether there is a connection.
func (c *Client) IsConnected() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.session != nil && !c.session.IsClosed()
}
