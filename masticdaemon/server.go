package masticdaemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of the operators' server, and the time that a server gets to close.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
	closeGrace     = 2 * time.Second
)

// httpServer serves one address until it is stopped.
type httpServer struct {
	listener net.Listener
	server   *http.Server
	stopped  chan struct{}
	stopOnce sync.Once
}

// listen opens address, so that a wrong one is an error before anything runs.
func listen(address string, server *http.Server, config *tls.Config) (*httpServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listening on %s", address)
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return &httpServer{listener: l, server: server, stopped: make(chan struct{})}, nil
}

// operatorServer returns the server for operators.
func operatorServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// address returns the address that is really listened on.
func (s *httpServer) address() string { return s.listener.Addr().String() }

func (s *httpServer) run() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serving")
}

// runUntilStopped is run, but goes on after the server was shut down: requests that it had
// taken are still under way.
func (s *httpServer) runUntilStopped() error {
	err := s.run()
	if err == nil {
		<-s.stopped
	}
	return err
}

func (s *httpServer) closeStopped() { close(s.stopped) }

func (s *httpServer) stop(error) {
	s.stopOnce.Do(s.closeStopped)
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		_ = s.server.Close()
	}
}
