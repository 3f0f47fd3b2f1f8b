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
	"masticladder/masticproto"
)

// Handler serves what other hosts send. Its methods are called from many goroutines.
type Handler interface {
	// Answer answers one call. Its context ends with the caller's wait.
	Answer(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error)
	// Receive takes one one-way message, in the order of one sender.
	Receive(q *masticproto.PeerRequest)
	// Stream sends answers until it returns; its error goes to the caller.
	Stream(ctx context.Context, q *masticproto.PeerRequest, send func(*masticproto.PeerAnswer) error) error
}

// Server accepts the connections of other hosts.
type Server struct {
	wire     *Wire
	listener net.Listener
	handler  Handler

	mutex    sync.Mutex
	stopped  bool
	sessions map[net.Conn]struct{}
	running  sync.WaitGroup
}

// Listen binds address, which is IP:port.
func (w *Wire) Listen(address string, h Handler) (*Server, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, masticerror.Wrap(err, masticerror.KindInternal, "listen on %s", address)
	}
	return &Server{wire: w, listener: l, handler: h, sessions: map[net.Conn]struct{}{}}, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run accepts connections until Stop, and returns when the last call has ended.
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
		a := &accepted{server: s, conn: c}
		go a.run()
	}
}

// Stop closes the listener and every connection.
func (s *Server) Stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	_ = s.listener.Close()
	for c := range s.sessions {
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
	s.sessions[c] = struct{}{}
	s.running.Add(1)
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, c)
	s.running.Done()
}

// accepted is one connection that another host opened.
type accepted struct {
	server *Server
	conn   net.Conn
}

func (a *accepted) run() {
	defer a.server.remove(a.conn)
	defer func() { _ = a.conn.Close() }()
	secured, err := a.secure()
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

func (a *accepted) secure() (net.Conn, error) {
	w := a.server.wire
	c := w.counted(a.conn)
	if w.security == nil {
		return c, nil
	}
	config, err := w.security.config(x509.ExtKeyUsageClientAuth)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(w.handshake))
	t := tls.Server(c, config)
	if err := t.Handshake(); err != nil {
		return nil, err
	}
	return t, c.SetDeadline(time.Time{})
}

// serve runs each stream in its own goroutine; a stream over the limit is refused.
func (a *accepted) serve(session *yamux.Session) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	places := make(chan struct{}, a.server.wire.sessionCalls)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		select {
		case places <- struct{}{}:
			running.Add(1)
			v := &serving{wire: a.server.wire, handler: a.server.handler, stream: stream, places: places, running: &running}
			go v.run(ctx)
		default:
			_ = stream.Close()
		}
	}
}
