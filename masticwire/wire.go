// Package masticwire transports protobuf messages between hosts over yamux and TCP: calls,
// one-way messages and streams of answers, optionally with mutual TLS.
package masticwire

import (
	"io"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"

	"masticladder/masticerror"
	"masticladder/masticintake"
)

// Defaults of the options.
const (
	DefaultMaxFrameBytes     = 256 << 20
	DefaultMaxSessionCalls   = 512
	DefaultMaxOutboxMessages = 4096
	DefaultDialTimeout       = 500 * time.Millisecond
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultWriteTimeout      = 2 * time.Second
	DefaultKeepAliveInterval = 5 * time.Second
	DefaultBackoffMin        = 20 * time.Millisecond
	DefaultBackoffMax        = time.Second
)

const streamCloseTimeout = 30 * time.Second

// Wire is the configuration and the byte counters shared by all connections of a host.
type Wire struct {
	security          *Security
	maxFrameBytes     int
	maxSessionCalls   int
	maxOutboxMessages int
	source            netip.Addr
	// intake counts the connections and messages of servers; nil means no limit.
	intake            *masticintake.Share
	dialTimeout       time.Duration
	handshakeTimeout  time.Duration
	writeTimeout      time.Duration
	keepAliveInterval time.Duration
	backoffMin        time.Duration
	backoffMax        time.Duration
	bytesIn           metrics.Counter
	bytesOut          metrics.Counter
}

// Option sets one property of a Wire.
type Option func(*Wire)

// WithSecurity makes every connection use mutual TLS.
func WithSecurity(s *Security) Option { return func(w *Wire) { w.security = s } }

// WithSource sets the source IP address of connections.
func WithSource(source netip.Addr) Option { return func(w *Wire) { w.source = source } }

// WithIntake sets the share in which the connections to servers, and the messages that they receive, are counted.
func WithIntake(s *masticintake.Share) Option { return func(w *Wire) { w.intake = s } }

// WithMaxFrameBytes sets the maximum size of a message in bytes.
func WithMaxFrameBytes(n int) Option { return func(w *Wire) { w.maxFrameBytes = n } }

// WithMaxSessionCalls sets the maximum number of open calls and streams per connection.
func WithMaxSessionCalls(n int) Option { return func(w *Wire) { w.maxSessionCalls = n } }

// WithMaxOutboxMessages sets the maximum number of queued one-way messages per host.
func WithMaxOutboxMessages(n int) Option { return func(w *Wire) { w.maxOutboxMessages = n } }

// WithWriteTimeout sets the timeout of a write. The stream of a slower reader is closed.
func WithWriteTimeout(d time.Duration) Option { return func(w *Wire) { w.writeTimeout = d } }

// WithDialTimeout sets the timeout for establishing a connection.
func WithDialTimeout(d time.Duration) Option { return func(w *Wire) { w.dialTimeout = d } }

// WithBackoff sets the shortest and longest back-off after a failed connection.
func WithBackoff(shortest, longest time.Duration) Option {
	return func(w *Wire) { w.backoffMin, w.backoffMax = shortest, longest }
}

// WithMetrics registers the byte counters in r as wire.bytesIn and wire.bytesOut.
func WithMetrics(r metrics.Registry) Option {
	return func(w *Wire) {
		w.bytesIn = metrics.GetOrRegisterCounter("wire.bytesIn", r)
		w.bytesOut = metrics.GetOrRegisterCounter("wire.bytesOut", r)
	}
}

// New returns a Wire without connections.
func New(options ...Option) *Wire {
	w := &Wire{
		maxFrameBytes:     DefaultMaxFrameBytes,
		maxSessionCalls:   DefaultMaxSessionCalls,
		maxOutboxMessages: DefaultMaxOutboxMessages,
		dialTimeout:       DefaultDialTimeout,
		handshakeTimeout:  DefaultHandshakeTimeout,
		writeTimeout:      DefaultWriteTimeout,
		keepAliveInterval: DefaultKeepAliveInterval,
		backoffMin:        DefaultBackoffMin,
		backoffMax:        DefaultBackoffMax,
		bytesIn:           metrics.NewCounter(),
		bytesOut:          metrics.NewCounter(),
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// Bytes returns the total bytes read from and written to all connections.
func (w *Wire) Bytes() (in, out int64) { return w.bytesIn.Count(), w.bytesOut.Count() }

func (w *Wire) sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = w.keepAliveInterval
	c.ConnectionWriteTimeout = w.writeTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.StreamOpenTimeout = streamCloseTimeout
	c.AcceptBacklog = w.maxSessionCalls
	c.LogOutput = io.Discard
	return c
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return masticerror.Wrap(err, masticerror.KindBadRequest, "address %q is not IP:port", address)
	}
	return nil
}
