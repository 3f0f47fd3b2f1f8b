package masticfake

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
)

// Server serves a stand-in on a loopback port.
type Server struct {
	address string
	handler http.Handler

	mu     sync.Mutex
	server *http.Server
	conns  map[net.Conn]struct{}
}

// Serve starts a server for handler on 127.0.0.1. An Engine's crashes drop the
// server's connections. The caller closes it.
func Serve(handler http.Handler) (*Server, error) {
	s := &Server{address: "127.0.0.1:0", handler: handler, conns: make(map[net.Conn]struct{})}
	if e, ok := handler.(*Engine); ok {
		e.mu.Lock()
		e.onCrash = s.Drop
		e.mu.Unlock()
	}
	return s, s.Up()
}

// Up listens, again on the same port after Down.
func (s *Server) Up() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s.handler, ConnState: s.track, ErrorLog: log.New(io.Discard, "", 0)}
	r := runner{server: s.server, listener: l}
	go r.run()
	return nil
}

// runner serves one listener.
type runner struct {
	server   *http.Server
	listener net.Listener
}

func (r runner) run() { _ = r.server.Serve(r.listener) }

// URL returns the server's base address.
func (s *Server) URL() string { return "http://" + s.address }

// Down stops listening and drops all connections.
func (s *Server) Down() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	_ = server.Close()
}

// Drop resets all connections and goes on listening.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}
