package masticdaemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"masticladder/masticdrain"
)

// Limits of the operators' server, and the time that each server gets to shut down before it is
// closed.
const (
	headerTimeout = 10 * time.Second
	// readTimeout bounds reading a whole request. It is above the time in which clients of operators give up, since it ends
	// the context of a running request.
	readTimeout    = 60 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
	closeTimeout   = 2 * time.Second
	// answerMargin is the time before the close of its connections in which a request is told that the host ends.
	answerMargin = 500 * time.Millisecond
	// handlerTimeout bounds the wait for handlers whose connections were closed.
	handlerTimeout = 200 * time.Millisecond
)

// httpServer serves one address until it is stopped.
type httpServer struct {
	listener net.Listener
	// queue is the listener below all others.
	queue    *queueListener
	server   *http.Server
	stopped  chan struct{}
	stopOnce sync.Once
	// closeBy is the latest time at which stop closes all connections, nil if only closeTimeout applies.
	closeBy atomic.Pointer[time.Time]
	// requests are the running requests, nil for a server whose requests need not be named when stop cuts them.
	requests *masticdrain.Requests
	log      logrus.FieldLogger
	// callers accepts the connections of a server for callers, nil on other servers.
	callers *callerListener
	// endRequests ends the contexts of running requests; nil for a server whose requests end in another way.
	endRequests context.CancelFunc
}

// listen binds address, so that an invalid or occupied address fails before any component runs. The
// server uses TLS if config is not nil.
func listen(address string, server *http.Server, config *tls.Config) (*httpServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listening on %s", address)
	}
	queue := newQueueListener(l.(*net.TCPListener))
	s := &httpServer{listener: queue, queue: queue, server: server, stopped: make(chan struct{})}
	s.useTLS(config)
	return s, nil
}

// useTLS makes the server use TLS if config is not nil.
func (s *httpServer) useTLS(config *tls.Config) {
	if config != nil {
		s.listener = tls.NewListener(s.listener, config)
	}
}

// newAdminServer returns the HTTP server for operators.
func newAdminServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// answerBeforeClose makes stop end the contexts of running requests answerMargin before it closes their connections, so that their
// handlers still answer. It must be called before run.
func (s *httpServer) answerBeforeClose() {
	ctx, cancel := context.WithCancel(context.Background())
	s.server.BaseContext = func(net.Listener) context.Context { return ctx }
	s.endRequests = cancel
}

// address returns the bound address, with the port that was assigned if port 0 was requested.
func (s *httpServer) address() string { return s.listener.Addr().String() }

func (s *httpServer) run() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serving")
}

// runUntilStopped serves like run but, after the server is shut down, returns only once stop is
// called, because accepted requests are still running.
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
	deadline := time.Now().Add(closeTimeout)
	if by := s.closeBy.Load(); by != nil && by.Before(deadline) {
		deadline = *by
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if s.endRequests != nil {
		timer := time.AfterFunc(time.Until(deadline.Add(-answerMargin)), s.endRequests)
		defer timer.Stop()
	}
	if err := s.shutdown(ctx); err != nil {
		s.cut()
	}
}

// shutdown stops accepting connections and returns when no request runs, or with the error of ctx.
func (s *httpServer) shutdown(ctx context.Context) error {
	if s.callers != nil {
		if err := s.drainCallers(ctx); err != nil {
			return err
		}
	}
	return s.server.Shutdown(ctx)
}

// cut closes all connections. It names the requests that this cuts, and waits for their handlers, which log their
// outcomes.
func (s *httpServer) cut() {
	if s.requests == nil {
		_ = s.server.Close()
		return
	}
	s.requests.LogCut(s.log, time.Now())
	_ = s.server.Close()
	timer := time.NewTimer(handlerTimeout)
	defer timer.Stop()
	select {
	case <-s.requests.Idle():
	case <-timer.C:
	}
}
