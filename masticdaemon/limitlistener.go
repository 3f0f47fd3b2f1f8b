package masticdaemon

import (
	"net"
	"sync"
)

// limitListener accepts a limited number of connections at once. Unlike those of netutil.LimitListener, its connections give
// access to their sockets.
type limitListener struct {
	net.Listener
	// room has an element for each open connection.
	room      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newLimitListener(l net.Listener, connections int) *limitListener {
	return &limitListener{Listener: l, room: make(chan struct{}, connections), closed: make(chan struct{})}
}

// Accept waits for room and returns the next connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.room <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &limitConn{Conn: c, listener: l}, nil
}

// Close closes the listener and ends a wait for room.
func (l *limitListener) Close() error {
	l.closeOnce.Do(l.closeClosed)
	return l.Listener.Close()
}

func (l *limitListener) closeClosed() { close(l.closed) }

// limitConn is a connection that takes room of its listener until it is closed.
type limitConn struct {
	net.Conn
	listener  *limitListener
	closeOnce sync.Once
}

// Close closes the connection and releases its room.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.release)
	return err
}

func (c *limitConn) release() { <-c.listener.room }

// NetConn returns the connection below, whose socket masticcaller examines.
func (c *limitConn) NetConn() net.Conn { return c.Conn }
