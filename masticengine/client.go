package masticengine

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticbody"
	"masticladder/masticcall"
	"masticladder/masticdetector"
	"masticladder/mastichttp"
	"masticladder/masticstream"
	"masticladder/masticview"
)

// Limits are the timeouts and size limits of a call to one backend server.
type Limits struct {
	ConnectTimeoutMillis int64 `json:"connectMillis"`
	// FirstEventTimeoutMillis is the timeout for the first event of a stream.
	FirstEventTimeoutMillis int64 `json:"firstAnswerMillis"`
	// NextEventTimeoutMillis is the timeout between two events of a stream.
	NextEventTimeoutMillis int64 `json:"nextEventMillis"`
	// AnswerTimeoutMillis is the timeout for an answer that is not streamed.
	AnswerTimeoutMillis int64 `json:"wholeAnswerMillis"`
	// ProbeTimeoutMillis is the timeout of the probe that reads a server's incarnation.
	ProbeTimeoutMillis int64 `json:"probeMillis"`
	MaxEventBytes      int   `json:"maxEventBytes"`
	MaxAnswerBytes     int64 `json:"maxAnswerBytes"`
	// MaxAnswersBytes bounds the memory of all answers together, of streams the part of an event that is not complete.
	MaxAnswersBytes int64 `json:"maxAnswersBytes"`
	IdleConnections int   `json:"idleConnections"`
}

// DefaultLimits returns the limits of a client without WithLimits.
func DefaultLimits() Limits {
	return Limits{
		ConnectTimeoutMillis:    1_000,
		FirstEventTimeoutMillis: 30_000,
		NextEventTimeoutMillis:  10_000,
		AnswerTimeoutMillis:     60_000,
		ProbeTimeoutMillis:      500,
		MaxEventBytes:           masticstream.DefaultMaxEventBytes,
		MaxAnswerBytes:          32 << 20,
		MaxAnswersBytes:         512 << 20,
		IdleConnections:         256,
	}
}

// Counters count discarded data and failed calls. They never decrease.
type Counters struct {
	// WrongRequest counts answers and events that belong to another request.
	WrongRequest atomic.Int64
	// Duplicates counts discarded events: duplicates, and events after the end mark.
	Duplicates atomic.Int64
	// Gaps counts streams that were aborted because events were missing.
	Gaps atomic.Int64
	// Truncated counts truncated answers.
	Truncated atomic.Int64
	// TimedOut counts calls that were aborted by a server timeout or the request's deadline.
	TimedOut atomic.Int64
	// ServersEnded counts incarnations of servers that were found to have ended.
	ServersEnded atomic.Int64
}

// ServerEndedFunc receives the verdict on a server under which calls failed.
type ServerEndedFunc func(r masticcall.ServerReport)

// Client sends calls to backend servers. It is safe for concurrent use.
type Client struct {
	limits     Limits
	pooled     *http.Transport
	singleUse  *http.Transport
	onEnded    ServerEndedFunc
	statements masticcall.StatementObserver
	log        logrus.FieldLogger
	detector   *masticdetector.Detector
	counters   Counters
	// answers bounds the memory of all answers.
	answers *masticbody.Budget

	mu      sync.Mutex
	servers map[string]*serverState
}

// Option configures a Client.
type Option func(*Client)

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option { return func(c *Client) { c.limits = l } }

// WithServerEnded sets the function that receives reports of ended servers.
func WithServerEnded(f ServerEndedFunc) Option { return func(c *Client) { c.onEnded = f } }

// New returns a client with DefaultLimits unless WithLimits is given.
func New(options ...Option) *Client {
	c := &Client{
		log:     logrus.StandardLogger(),
		limits:  DefaultLimits(),
		onEnded: func(masticcall.ServerReport) {},
		servers: make(map[string]*serverState),
	}
	for _, o := range options {
		o(c)
	}
	c.answers = masticbody.NewBudget(c.limits.MaxAnswersBytes)
	c.pooled = c.transport(false)
	c.singleUse = c.transport(true)
	c.detector = masticdetector.New(&livenessChecker{client: c}, c, masticdetector.WithLog(c.log))
	return c
}

// WithLog sets the logger; the default is logrus.StandardLogger.
func WithLog(l logrus.FieldLogger) Option { return func(c *Client) { c.log = l } }

// SetView passes the list of backend servers to the detector of ended servers.
func (c *Client) SetView(v masticview.View) { c.detector.SetView(v) }

// SetSuspects passes the requests that all hosts together suspect of ending servers to the detector.
func (c *Client) SetSuspects(digests []masticview.Digest) { c.detector.SetSuspects(digests) }

// SetServerEnded replaces the function that receives reports of ended servers. It must be called
// before the first call.
func (c *Client) SetServerEnded(f ServerEndedFunc) { c.onEnded = f }

// Counters returns the counters, which the client updates during calls.
func (c *Client) Counters() *Counters { return &c.counters }

// AnswerBytes returns the memory of all answers that were not released, and of open streams.
func (c *Client) AnswerBytes() int64 { return c.answers.Used() }

// Close closes idle connections and ends the checks of servers.
func (c *Client) Close() {
	c.detector.Close()
	c.pooled.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// transport returns a transport without proxies, redirects, compression or HTTP/2. A single-use
// transport uses each connection for one request, so that net/http never resends a request.
func (c *Client) transport(singleUse bool) *http.Transport {
	t := mastichttp.NewTransport()
	t.DialContext = c.dial
	t.DisableKeepAlives = singleUse
	t.MaxIdleConnsPerHost = c.limits.IdleConnections
	t.IdleConnTimeout = time.Minute
	t.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
	return t
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: millis(c.limits.ConnectTimeoutMillis)}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
