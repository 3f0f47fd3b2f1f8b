package masticdaemon

import (
	"context"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"masticladder/masticintake"
)

const (
	// intakeMemoryFraction is the fraction of the memory of a host that connections, headers and bodies of all listeners
	// may take together, headMemoryFraction that of headers.
	intakeMemoryFraction = 0.3
	headMemoryFraction   = 0.1
	// defaultIntakeBytes and defaultHeadBytes apply to a host without a memory limit.
	defaultIntakeBytes = 1 << 30
	defaultHeadBytes   = 64 << 20
	// The fractions of the memory of all listeners that only one of them may take. Callers take what is left.
	operatorReserve = 0.3
	peerReserve     = 0.2
	otherReserve    = 0.05
	// operatorBytes bounds what operators take: one document of the largest size. It is below the limit of the handler, so
	// that half-sent documents are closed before a complete one is refused.
	operatorBytes = 20 << 20
	// Estimated memory of a connection: goroutines, buffers of net/http, and those of TLS or of a session of hosts.
	plainConnBytes = 16 << 10
	tlsConnBytes   = 48 << 10
	peerConnBytes  = 32 << 10
	// peerDescriptorFraction and otherDescriptorFraction are fractions of the descriptors, like callerDescriptorFraction.
	// Up to a thousand connections suffice for any listener but callers'.
	peerDescriptorFraction  = 0.2
	otherDescriptorFraction = 0.05
	// controlDescriptorFraction is otherDescriptorFraction of a process without callers.
	controlDescriptorFraction = 0.2
	minPeerConnections        = 256
	minOtherConnections       = 128
	maxPeerConnections        = 1024
	maxOtherConnections       = 1024
	// callerMinWait and otherMinWait are how long a connection waits for its client before it may be closed. Callers
	// abandon a request that was not read after 1 s.
	callerMinWait = time.Second
	otherMinWait  = 250 * time.Millisecond
	// maxDescriptors bounds the descriptors of a process whose limit is higher.
	maxDescriptors = 1 << 16
)

// intake makes the shares of listeners in the memory and the descriptors of a process.
type intake struct {
	guard       *masticintake.Guard
	bytes       int64
	descriptors int
	// hasCallers reports that the process serves callers, whose connections take most descriptors.
	hasCallers bool
}

// newIntake returns the intake of a process with limits on its memory and descriptors, zero if there is none.
func newIntake(memoryBytes int64, descriptors int, hasCallers bool) *intake {
	l := masticintake.Limits{Bytes: defaultIntakeBytes, HeadBytes: defaultHeadBytes}
	if memoryBytes > 0 {
		l = masticintake.Limits{Bytes: int64(intakeMemoryFraction * float64(memoryBytes)), HeadBytes: int64(headMemoryFraction * float64(memoryBytes))}
	}
	if descriptors <= 0 {
		descriptors = processDescriptors()
	}
	return &intake{guard: masticintake.New(l), bytes: l.Bytes, descriptors: min(descriptors, maxDescriptors), hasCallers: hasCallers}
}

// processDescriptors returns the number of descriptors that the process may open.
func processDescriptors() int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil || r.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int(r.Cur)
}

// processMemoryBytes returns the memory that the process may use by the runtime's limit (GOMEMLIMIT), zero without one.
func processMemoryBytes() int64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return 0
	}
	return int64(float64(limit) / memoryLimitFraction)
}

func (i *intake) reserve(fraction float64) int64 { return int64(fraction * float64(i.bytes)) }

func (i *intake) connections(fraction float64) int { return int(fraction * float64(i.descriptors)) }

func connBytes(secure bool) int64 {
	if secure {
		return tlsConnBytes
	}
	return plainConnBytes
}

func (i *intake) callers(secure bool) *masticintake.Share {
	return i.guard.Share(masticintake.ShareLimits{Connections: max(1, i.connections(callerDescriptorFraction)), ConnectionBytes: connBytes(secure), MinWait: callerMinWait})
}

func (i *intake) operators(secure bool) *masticintake.Share {
	return i.guard.Share(masticintake.ShareLimits{
		Connections: i.otherConnections(), ConnectionBytes: connBytes(secure), ReservedBytes: i.reserve(operatorReserve), Bytes: operatorBytes,
		MinWait: otherMinWait, RefuseFull: true,
	})
}

// other returns the share of a listener with short requests: readiness, look-ups, metrics.
func (i *intake) other() *masticintake.Share {
	return i.guard.Share(masticintake.ShareLimits{
		Connections: i.otherConnections(), ConnectionBytes: plainConnBytes, ReservedBytes: i.reserve(otherReserve),
		MinWait: otherMinWait, RefuseFull: true,
	})
}

func (i *intake) peers() *masticintake.Share {
	return i.guard.Share(masticintake.ShareLimits{
		Connections:     min(max(i.connections(peerDescriptorFraction), minPeerConnections), maxPeerConnections),
		ConnectionBytes: peerConnBytes, ReservedBytes: i.reserve(peerReserve), OtherProtocol: true,
		MinWait: otherMinWait, RefuseFull: true,
	})
}

func (i *intake) otherConnections() int {
	fraction := controlDescriptorFraction
	if i.hasCallers {
		fraction = otherDescriptorFraction
	}
	return min(max(i.connections(fraction), minOtherConnections), maxOtherConnections)
}

// register registers what all listeners take as gauges.
func (i *intake) register(r metrics.Registry) {
	for name, value := range map[string]func(masticintake.Usage) int64{
		"intake.connections":   func(u masticintake.Usage) int64 { return u.Connections },
		"intake.bytes":         func(u masticintake.Usage) int64 { return u.Bytes },
		"intake.headBytes":     func(u masticintake.Usage) int64 { return u.HeadBytes },
		"intake.evicted":       func(u masticintake.Usage) int64 { return u.Evicted },
		"intake.refusedHeads":  func(u masticintake.Usage) int64 { return u.RefusedHeads },
		"intake.refusedBodies": func(u masticintake.Usage) int64 { return u.RefusedBodies },
	} {
		registerGauge(r, name, func() int64 { return value(i.guard.Usage()) })
	}
}

// countIn makes the connections and requests of the server part of a share. It is called after all other listeners are
// in place, so that it counts what TLS has decrypted.
func (s *httpServer) countIn(share *masticintake.Share) {
	s.listener = share.Listener(s.listener, closeRefused)
	s.server.ConnState = trackConn
	s.server.ConnContext = (&connContext{next: s.server.ConnContext}).with
	s.server.Handler = masticintake.Handler(s.server.Handler)
}

// connContext adds the counted connection to the context that another http.Server.ConnContext returns.
type connContext struct {
	// next may be nil.
	next func(ctx context.Context, c net.Conn) context.Context
}

func (x *connContext) with(ctx context.Context, c net.Conn) context.Context {
	if x.next != nil {
		ctx = x.next(ctx, c)
	}
	return masticintake.ConnContext(ctx, c)
}

func closeRefused(c net.Conn) { trackCallerConn(c, http.StateClosed) }

// trackConn implements http.Server.ConnState.
func trackConn(c net.Conn, state http.ConnState) {
	if x, ok := c.(*masticintake.Conn); ok {
		x.SetState(state)
		c = x.Conn
	}
	trackCallerConn(c, state)
}
