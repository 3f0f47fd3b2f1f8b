package masticengine

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"masticladder/masticstream"
	"masticladder/masticview"
)

// Limits bound what one backend server may cost.
type Limits struct {
	ConnectMillis int64 `json:"connectMillis"`
	// FirstAnswerMillis bounds the wait for the first event of a stream.
	FirstAnswerMillis int64 `json:"firstAnswerMillis"`
	// NextEventMillis bounds the silence between two events of a stream.
	NextEventMillis int64 `json:"nextEventMillis"`
	// WholeAnswerMillis bounds the wait for an answer that is not streamed.
	WholeAnswerMillis int64 `json:"wholeAnswerMillis"`
	// ProbeMillis bounds the question whether a server still lives.
	ProbeMillis     int64 `json:"probeMillis"`
	MaxEventBytes   int   `json:"maxEventBytes"`
	MaxAnswerBytes  int64 `json:"maxAnswerBytes"`
	IdleConnections int   `json:"idleConnections"`
}

// DefaultLimits returns the limits that New starts from.
func DefaultLimits() Limits {
	return Limits{
		ConnectMillis:     1_000,
		FirstAnswerMillis: 30_000,
		NextEventMillis:   10_000,
		WholeAnswerMillis: 60_000,
		ProbeMillis:       500,
		MaxEventBytes:     masticstream.DefaultMaxEventBytes,
		MaxAnswerBytes:    32 << 20,
		IdleConnections:   256,
	}
}

// Counters count what a client dropped or left. They only grow.
type Counters struct {
	// Crossed counts answers and events of another request.
	Crossed atomic.Int64
	// Repeated counts events that were delivered before.
	Repeated atomic.Int64
	// Gaps counts streams left because of a gap.
	Gaps atomic.Int64
	// Cut counts answers that ended before their end.
	Cut atomic.Int64
	// Late counts calls left because the server was silent or the deadline passed.
	Late atomic.Int64
	// Ended counts ended incarnations of servers.
	Ended atomic.Int64
}

// EndedFunc takes the digests that were running when an incarnation of a server ended.
type EndedFunc func(server, incarnation string, digests []masticview.Digest)

// Client sends calls to backend servers. It is safe for concurrent use.
type Client struct {
	limits   Limits
	pooled   *http.Transport
	fresh    *http.Transport
	onEnded  EndedFunc
	counters Counters

	mu      sync.Mutex
	servers map[string]*serverState
}

// Option configures a Client.
type Option func(*Client)

// WithLimits sets the limits.
func WithLimits(l Limits) Option { return func(c *Client) { c.limits = l } }

// WithEnded sets the function that takes reports of ended servers.
func WithEnded(f EndedFunc) Option { return func(c *Client) { c.onEnded = f } }

// New returns a client.
func New(options ...Option) *Client {
	c := &Client{
		limits:  DefaultLimits(),
		onEnded: func(string, string, []masticview.Digest) {},
		servers: make(map[string]*serverState),
	}
	for _, o := range options {
		o(c)
	}
	c.pooled = c.transport(false)
	c.fresh = c.transport(true)
	return c
}

// SetEnded replaces the function that takes reports of ended servers. It is called before the first call.
func (c *Client) SetEnded(f EndedFunc) { c.onEnded = f }

// Counters returns the client's counters.
func (c *Client) Counters() *Counters { return &c.counters }

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// transport returns a transport without proxies, redirects, compression or HTTP/2.
// A fresh one uses each connection once: net/http then never sends a request again.
func (c *Client) transport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         c.dial,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: c.limits.IdleConnections,
		IdleConnTimeout:     time.Minute,
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: millis(c.limits.ConnectMillis)}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
