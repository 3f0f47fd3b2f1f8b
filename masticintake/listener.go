package masticintake

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"masticladder/masticbody"
)

// fullInterval is how often a full listener looks for room when no connection of its own was closed.
const fullInterval = 50 * time.Millisecond

// Listener counts the connections of a listener. A connection for which there is no room waits.
type Listener struct {
	net.Listener
	share *Share
	// refused is called for an accepted connection that is closed without being served.
	refused   func(c net.Conn)
	closed    chan struct{}
	closeOnce sync.Once
}

// Listener returns a listener that counts the connections of l. refused, if not nil, is called for an accepted connection
// that is closed without being served.
func (s *Share) Listener(l net.Listener, refused func(c net.Conn)) *Listener {
	return &Listener{Listener: l, share: s, refused: refused, closed: make(chan struct{})}
}

// Accept returns the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := l.newConn(inner)
	for !l.share.add(c) {
		refuse := l.share.refuses(c)
		if !refuse && l.wait() {
			continue
		}
		if l.refused != nil {
			l.refused(inner)
		}
		_ = c.raw().Close()
		if !refuse {
			return nil, net.ErrClosed
		}
		if inner, err = l.Listener.Accept(); err != nil {
			return nil, err
		}
		c = l.newConn(inner)
	}
	return c, nil
}

func (l *Listener) newConn(c net.Conn) *Conn {
	return &Conn{Conn: c, share: l.share, source: sourceOf(c), inHead: !l.share.limits.OtherProtocol}
}

// wait waits for room. It reports false if the listener was closed.
func (l *Listener) wait() bool {
	timer := time.NewTimer(fullInterval)
	defer timer.Stop()
	select {
	case <-l.closed:
		return false
	case <-l.share.freed:
	case <-timer.C:
	}
	return true
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(l.closeClosed)
	return l.Listener.Close()
}

func (l *Listener) closeClosed() { close(l.closed) }

type connKey struct{}

// ConnContext is the ConnContext of an http.Server whose requests Handler serves.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that counts the bodies of requests and passes them to h.
func Handler(h http.Handler) http.Handler { return &handler{next: h} }

type handler struct{ next http.Handler }

// ServeHTTP serves one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	switch {
	case !ok:
	case r.ContentLength == 0:
		c.Complete()
	default:
		r.Body = &body{ReadCloser: r.Body, conn: c, request: r, left: r.ContentLength}
	}
	h.next.ServeHTTP(w, r)
}

// body is the body of a request that is counted until the request ends.
type body struct {
	io.ReadCloser
	conn    *Conn
	request *http.Request
	// left is the number of bytes that were not read, negative if the body states no length.
	left int64
}

// Read reads from the body. The error is masticbody.ErrBudget if there is no room. At the end it drops the trailer, which
// nothing reads.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.conn.Grow(int64(n)) {
		return 0, masticbody.ErrBudget
	}
	b.left -= int64(n)
	if err == io.EOF || b.left == 0 {
		b.request.Trailer = nil
		b.conn.Complete()
	}
	return n, err
}
