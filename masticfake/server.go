package masticfake

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
)

// Server serves a handler, such as an Engine or a Service, on a loopback port.
type Server struct {
	address string
	handler http.Handler

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]struct{}
}

// serverCount is the number of servers that this process has created.
var serverCount atomic.Uint32

// uniqueAddress returns a loopback address that no other server uses, so that no other server can
// take the port of one that is down.
func uniqueAddress() string {
	pid, n := os.Getpid(), serverCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>8&63, pid&255, 1+n%250)
}

// Serve starts a server for handler on its own loopback address. A crash of an Engine drops the
// server's connections. The caller has to call Down.
func Serve(handler http.Handler) (*Server, error) {
	s := &Server{address: uniqueAddress(), handler: handler, conns: make(map[net.Conn]struct{})}
	if e, ok := handler.(*Engine); ok {
		e.mu.Lock()
		e.onCrash = s.Drop
		e.mu.Unlock()
	}
	return s, s.Up()
}

// Up starts to listen. After Down it listens on the same port again.
func (s *Server) Up() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.listener = l
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

// Down stops listening and closes all connections. It closes the listener itself, since the
// http.Server does not know the listener before the goroutine that serves it has started.
func (s *Server) Down() {
	s.mu.Lock()
	server, listener := s.server, s.listener
	s.mu.Unlock()
	_ = listener.Close()
	_ = server.Close()
}

// Drop resets all connections and keeps listening.
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
