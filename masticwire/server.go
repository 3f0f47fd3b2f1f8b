package masticwire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"masticladder/masticerror"
	"masticladder/masticintake"
	"masticladder/masticproto"
)

// Handler handles the messages of other hosts. Its methods are called concurrently.
type Handler interface {
	// Answer answers one call. Its context ends when the caller stops waiting.
	Answer(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error)
	// Receive handles one one-way message. The messages of one sender arrive in order.
	Receive(q *masticproto.PeerRequest)
	// Stream sends answers until it returns. Its error is sent to the caller.
	Stream(ctx context.Context, q *masticproto.PeerRequest, send func(*masticproto.PeerAnswer) error) error
}

// Server accepts the connections of other hosts.
type Server struct {
	wire     *Wire
	listener net.Listener
	handler  Handler

	mutex   sync.Mutex
	stopped bool
	conns   map[net.Conn]struct{}
	running sync.WaitGroup
}

// Listen listens on address, an IP:port. Run must be called to accept connections.
func (w *Wire) Listen(address string, h Handler) (*Server, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, masticerror.Wrap(err, masticerror.KindInternal, "listen on %s", address)
	}
	if w.intake != nil {
		l = w.intake.Listener(l, nil)
	}
	return &Server{wire: w, listener: l, handler: h, conns: map[net.Conn]struct{}{}}, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run accepts connections until Stop is called, and returns after the last call has ended.
func (s *Server) Run() error {
	defer s.running.Wait()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if s.isStopped() {
				return nil
			}
			return masticerror.Wrap(err, masticerror.KindInternal, "accept on %s", s.Address())
		}
		if !s.add(c) {
			_ = c.Close()
			continue
		}
		a := &serverConn{server: s, conn: c}
		go a.run()
	}
}

// Stop closes the listener and all connections. It does not wait for running calls.
func (s *Server) Stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) isStopped() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopped
}

func (s *Server) add(c net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return false
	}
	s.conns[c] = struct{}{}
	s.running.Add(1)
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
	s.running.Done()
}

// serverConn is one connection opened by another host.
type serverConn struct {
	server *Server
	conn   net.Conn
}

func (a *serverConn) run() {
	defer a.server.remove(a.conn)
	defer func() { _ = a.conn.Close() }()
	secured, err := a.handshake()
	if err != nil {
		return
	}
	session, err := yamux.Server(secured, a.server.wire.sessionConfig())
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	a.serve(session)
}

// memory returns where the connection's messages are counted, nil without a limit.
func (a *serverConn) memory() *masticintake.Conn {
	c, _ := a.conn.(*masticintake.Conn)
	return c
}

func (a *serverConn) handshake() (net.Conn, error) {
	w := a.server.wire
	c := w.countBytes(a.conn)
	if w.security == nil {
		return c, nil
	}
	config, err := w.security.config(x509.ExtKeyUsageClientAuth)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(w.handshakeTimeout))
	t := tls.Server(c, config)
	if err := t.Handshake(); err != nil {
		return nil, err
	}
	return t, c.SetDeadline(time.Time{})
}

// serve handles each stream in its own goroutine and closes streams over the limit.
func (a *serverConn) serve(session *yamux.Session) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	slots := make(chan struct{}, a.server.wire.maxSessionCalls)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
			running.Add(1)
			v := &serverStream{wire: a.server.wire, handler: a.server.handler, memory: a.memory(), stream: stream, slots: slots, running: &running}
			go v.run(ctx)
		default:
			_ = stream.Close()
		}
	}
}
