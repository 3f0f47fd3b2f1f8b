// Package masticwire carries protobuf messages between hosts over yamux and TCP:
// calls, one-way messages and streams of answers, with mutual TLS by option.
package masticwire

import (
	"io"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"

	"masticladder/masticerror"
)

// Defaults of the options.
const (
	DefaultFrameBytes        = 256 << 20
	DefaultSessionCalls      = 512
	DefaultOutboxMessages    = 4096
	DefaultDialTimeout       = 500 * time.Millisecond
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultWriteTimeout      = 2 * time.Second
	DefaultKeepAliveInterval = 5 * time.Second
	DefaultBackoffMin        = 20 * time.Millisecond
	DefaultBackoffMax        = time.Second
)

const (
	streamCloseTimeout = 30 * time.Second
	maxSilentCalls     = 3
)

// Wire holds what all connections of a host share.
type Wire struct {
	security     *Security
	frameBytes   int
	sessionCalls int
	outbox       int
	source       netip.Addr
	dial         time.Duration
	handshake    time.Duration
	write        time.Duration
	keepAlive    time.Duration
	backoffMin   time.Duration
	backoffMax   time.Duration
	bytesIn      metrics.Counter
	bytesOut     metrics.Counter
}

// Option sets one property of a Wire.
type Option func(*Wire)

// WithSecurity makes every connection use mutual TLS.
func WithSecurity(s *Security) Option { return func(w *Wire) { w.security = s } }

// WithSource sets the IP number from which connections are made.
func WithSource(source netip.Addr) Option { return func(w *Wire) { w.source = source } }

// WithFrameBytes bounds one message, in bytes.
func WithFrameBytes(n int) Option { return func(w *Wire) { w.frameBytes = n } }

// WithSessionCalls bounds the calls and streams that one connection may have open.
func WithSessionCalls(n int) Option { return func(w *Wire) { w.sessionCalls = n } }

// WithOutboxMessages bounds the one-way messages that wait for one host.
func WithOutboxMessages(n int) Option { return func(w *Wire) { w.outbox = n } }

// WithWriteTimeout bounds one write; a reader slower than this loses its stream.
func WithWriteTimeout(d time.Duration) Option { return func(w *Wire) { w.write = d } }

// WithDialTimeout bounds the set-up of a connection.
func WithDialTimeout(d time.Duration) Option { return func(w *Wire) { w.dial = d } }

// WithBackoff bounds the pause after a failed connection.
func WithBackoff(least, most time.Duration) Option {
	return func(w *Wire) { w.backoffMin, w.backoffMax = least, most }
}

// WithMetrics counts the bytes on the wire in r as wire.bytesIn and wire.bytesOut.
func WithMetrics(r metrics.Registry) Option {
	return func(w *Wire) {
		w.bytesIn = metrics.GetOrRegisterCounter("wire.bytesIn", r)
		w.bytesOut = metrics.GetOrRegisterCounter("wire.bytesOut", r)
	}
}

// New returns a Wire without connections.
func New(options ...Option) *Wire {
	w := &Wire{
		frameBytes:   DefaultFrameBytes,
		sessionCalls: DefaultSessionCalls,
		outbox:       DefaultOutboxMessages,
		dial:         DefaultDialTimeout,
		handshake:    DefaultHandshakeTimeout,
		write:        DefaultWriteTimeout,
		keepAlive:    DefaultKeepAliveInterval,
		backoffMin:   DefaultBackoffMin,
		backoffMax:   DefaultBackoffMax,
		bytesIn:      metrics.NewCounter(),
		bytesOut:     metrics.NewCounter(),
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// Bytes returns the bytes read from and written to all connections.
func (w *Wire) Bytes() (in, out int64) { return w.bytesIn.Count(), w.bytesOut.Count() }

func (w *Wire) sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = w.keepAlive
	c.ConnectionWriteTimeout = w.write
	c.StreamCloseTimeout = streamCloseTimeout
	c.StreamOpenTimeout = streamCloseTimeout
	c.AcceptBacklog = w.sessionCalls
	c.LogOutput = io.Discard
	return c
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return masticerror.Wrap(err, masticerror.KindBadRequest, "address %q is not IP:port", address)
	}
	return nil
}
