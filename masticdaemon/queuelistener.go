package masticdaemon

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// queueListener is a listener that can stop without a reset of the connections that wait to be accepted.
type queueListener struct {
	*net.TCPListener

	mutex    sync.Mutex
	stopping bool
	// empty is closed once the listener is closed after a stop; closed is closed by Close.
	empty, closed chan struct{}
	closeOnce     sync.Once
}

func newQueueListener(l *net.TCPListener) *queueListener {
	return &queueListener{TCPListener: l, empty: make(chan struct{}), closed: make(chan struct{})}
}

// stop makes Accept return the connections that wait, and close the listener then.
func (q *queueListener) stop() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.stopping {
		q.stopping = true
		_ = q.SetDeadline(time.Now())
	}
}

// isEmpty reports whether no connection waits after a stop.
func (q *queueListener) isEmpty() bool {
	select {
	case <-q.empty:
		return true
	case <-q.closed:
		return true
	default:
		return false
	}
}

// Accept returns the next connection. After a stop, it waits for Close once no connection waits.
func (q *queueListener) Accept() (net.Conn, error) {
	for {
		last := q.prepare()
		c, err := q.TCPListener.Accept()
		switch {
		case err == nil || !errors.Is(err, os.ErrDeadlineExceeded):
			return c, err
		case last:
			_ = q.TCPListener.Close()
			close(q.empty)
			<-q.closed
			return nil, net.ErrClosed
		}
	}
}

// prepare reports whether the next accept is one that only takes what waits.
func (q *queueListener) prepare() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.stopping {
		_ = q.SetDeadline(time.Now().Add(lastReadTimeout))
	}
	return q.stopping
}

// Close closes the listener.
func (q *queueListener) Close() error {
	q.closeOnce.Do(q.closeClosed)
	if err := q.TCPListener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (q *queueListener) closeClosed() { close(q.closed) }
