// Package masticintake counts the memory that connections, headers and bodies of all listeners of a process take together.
// When a listener has no room, it closes connections whose clients have not sent a complete request, the oldest of the
// client address with the most connections first. A request that is complete is never closed.
package masticintake

import (
	"net"
	"sync"
	"time"
)

// Limits bound what all listeners of a process take together.
type Limits struct {
	// Bytes bounds connections, headers and bodies, HeadBytes the headers.
	Bytes, HeadBytes int64
}

// ShareLimits bound what one listener takes.
type ShareLimits struct {
	// Connections is the largest number of open connections.
	Connections int
	// ConnectionBytes is the memory of a connection without a request.
	ConnectionBytes int64
	// ReservedBytes is the part of Limits.Bytes that only this listener may take.
	ReservedBytes int64
	// Bytes bounds what the listener takes; zero means no other limit than that of the process.
	Bytes int64
	// MinWait is how long a connection may wait for its client before it is closed to make room for others: a request that
	// has arrived may not be read yet.
	MinWait time.Duration
	// RefuseFull makes a full listener close new connections of a client address that has more than half of all, so that
	// others need not wait behind them. Otherwise new connections wait.
	RefuseFull bool
	// OtherProtocol states that connections carry no HTTP requests, so that no headers are counted.
	OtherProtocol bool
}

// Usage is what listeners take.
type Usage struct {
	// Connections is the number of open connections, Bytes the memory of all, HeadBytes that of their headers.
	Connections, Bytes, HeadBytes int64
	// Evicted, RefusedHeads and RefusedBodies count connections that were closed to make room, and headers and parts of
	// bodies without room.
	Evicted, RefusedHeads, RefusedBodies int64
}

// Guard counts for all listeners of a process. It is safe for concurrent use.
type Guard struct {
	limits Limits

	mutex sync.Mutex
	// free is the memory that no listener has reserved or taken.
	free  int64
	usage Usage
}

// New returns a Guard without listeners.
func New(l Limits) *Guard { return &Guard{limits: l, free: l.Bytes} }

// Usage returns what all listeners take now.
func (g *Guard) Usage() Usage {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.usage
}

// Share is the part of one listener.
type Share struct {
	guard  *Guard
	limits ShareLimits
	// used is the memory that the listener takes.
	used int64
	open map[*Conn]struct{}
	// perSource is the number of open connections of each client address.
	perSource map[string]int
	sequence  int64
	// freed has an element after a connection was closed.
	freed chan struct{}
}

// Share returns the part of a new listener. The reservation is at most what others have left.
func (g *Guard) Share(l ShareLimits) *Share {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	l.ReservedBytes = max(0, min(l.ReservedBytes, g.free))
	g.free -= l.ReservedBytes
	return &Share{guard: g, limits: l, open: map[*Conn]struct{}{}, perSource: map[string]int{}, freed: make(chan struct{}, 1)}
}

// take reports whether the listener may take n bytes more, and takes them. The lock is held.
func (s *Share) take(n int64) bool {
	if s.limits.Bytes > 0 && s.used+n > s.limits.Bytes {
		return false
	}
	more := max(0, s.used+n-s.limits.ReservedBytes) - max(0, s.used-s.limits.ReservedBytes)
	if more > s.guard.free {
		return false
	}
	s.guard.free -= more
	s.used += n
	s.guard.usage.Bytes += n
	return true
}

// give returns n bytes. The lock is held.
func (s *Share) give(n int64) {
	s.guard.free += max(0, s.used-s.limits.ReservedBytes) - max(0, s.used-n-s.limits.ReservedBytes)
	s.used -= n
	s.guard.usage.Bytes -= n
}

// add counts a connection. It reports false if the listener has no room and no connection to close; the lock is not held.
func (s *Share) add(c *Conn) bool {
	s.guard.mutex.Lock()
	defer s.guard.mutex.Unlock()
	for len(s.open) >= s.limits.Connections || !s.take(s.limits.ConnectionBytes) {
		v := s.victim(c, true)
		if v == nil || !v.evict() {
			return false
		}
	}
	c.counted, c.fixedBytes = true, s.limits.ConnectionBytes
	s.sequence++
	c.sequence, c.waitsSince = s.sequence, time.Now()
	s.open[c] = struct{}{}
	s.perSource[c.source]++
	s.guard.usage.Connections++
	return true
}

// remove counts a connection no more. The lock is held.
func (s *Share) remove(c *Conn) {
	if !c.counted {
		return
	}
	c.counted = false
	s.give(c.fixedBytes + c.headBytes + c.bodyBytes)
	s.guard.usage.HeadBytes -= c.headBytes
	s.guard.usage.Connections--
	c.headBytes, c.bodyBytes = 0, 0
	delete(s.open, c)
	if s.perSource[c.source]--; s.perSource[c.source] == 0 {
		delete(s.perSource, c.source)
	}
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// victim returns the connection to close for except, nil if there is none: one without a complete request, or an idle
// one if idle is set and there is no other. The lock is held.
func (s *Share) victim(except *Conn, idle bool) *Conn {
	var best *Conn
	latest := time.Now().Add(-s.limits.MinWait)
	for c := range s.open {
		if c == except || c.phase == phaseRunning || c.asked || c.phase == phaseIdle && !idle || c.waitsSince.After(latest) {
			continue
		}
		if best == nil || s.before(c, best) {
			best = c
		}
	}
	return best
}

// before reports whether c is closed before d.
func (s *Share) before(c, d *Conn) bool {
	if (c.phase == phaseIdle) != (d.phase == phaseIdle) {
		return d.phase == phaseIdle
	}
	if a, b := s.perSource[c.source], s.perSource[d.source]; a != b {
		return a > b
	}
	return c.sequence < d.sequence
}

// refuses reports whether a new connection for which there is no room is closed.
func (s *Share) refuses(c *Conn) bool {
	s.guard.mutex.Lock()
	defer s.guard.mutex.Unlock()
	return s.limits.RefuseFull && 2*s.perSource[c.source] > len(s.open)
}

func sourceOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}
