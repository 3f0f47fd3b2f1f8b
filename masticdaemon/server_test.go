package masticdaemon

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"masticladder/masticdrain"
)

// blockingHandler answers once release is closed.
type blockingHandler struct{ begun, release chan struct{} }

func (h *blockingHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	close(h.begun)
	<-h.release
	_, _ = io.WriteString(w, "whole")
}

// actorRunner runs an actor and sends its result to ended.
type actorRunner struct {
	actor func() error
	ended chan error
}

func (a *actorRunner) run() { a.ended <- a.actor() }

// clientRequest sends one GET request and sends the response body, or the error text, to body.
type clientRequest struct {
	url  string
	body chan string
}

func (a *clientRequest) run() {
	r, err := http.Get(a.url)
	if err != nil {
		a.body <- err.Error()
		return
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		a.body <- err.Error()
		return
	}
	a.body <- string(b)
}

// TestRunUntilStoppedOutlastsShutdown simulates SIGTERM under load: the actor that serves callers
// returned as soon as its listener closed, which ended the host while requests were running.
func TestRunUntilStoppedOutlastsShutdown(t *testing.T) {
	c := qt.New(t)
	h := &blockingHandler{begun: make(chan struct{}), release: make(chan struct{})}
	s, err := listen("127.0.0.1:0", &http.Server{Handler: h}, nil)
	c.Assert(err, qt.IsNil)
	a := &actorRunner{actor: s.runUntilStopped, ended: make(chan error, 1)}
	go a.run()
	q := &clientRequest{url: "http://" + s.address(), body: make(chan string, 1)}
	go q.run()
	<-h.begun
	bounded, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Assert(s.server.Shutdown(bounded), qt.Equals, context.DeadlineExceeded)
	select {
	case err := <-a.ended:
		t.Fatalf("the actor returned while a request was running: %v", err)
	default:
	}
	close(h.release)
	c.Assert(<-q.body, qt.Equals, "whole")
	s.stop(nil)
	c.Assert(<-a.ended, qt.IsNil)
}

// TestDescriptorLimitBoundsCallerConnections: connections beyond the callers' fraction of the
// descriptors wait until another one closes; the rest stays available for backend servers.
func TestDescriptorLimitBoundsCallerConnections(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	n, err := NewNode(NodeSettings{Peer: "127.0.0.1:0", Seeds: []string{"127.0.0.1:1"}, CallerAddress: "127.0.0.1:0", MaxDescriptors: 4}, Protocols{}, log)
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	c.Assert(n.ServeCallers(server), qt.IsNil)
	defer func() { n.End(); c.Check(n.Run(), qt.IsNil) }()
	r := &serverRunner{server: n.callerServer}
	go r.run()

	var open []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", n.callerServer.address())
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		open = append(open, conn)
	}
	expectNoContent := func(conn net.Conn) {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)
	}
	expectNoContent(open[0])
	expectNoContent(open[1])
	// A slow machine cannot make this check fail: no response may arrive, however long the wait.
	_ = open[2].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = open[2].Read(make([]byte, 1))
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	_ = open[2].SetReadDeadline(time.Time{})
	c.Assert(open[0].Close(), qt.IsNil)
	expectNoContent(open[2])
	_ = open[1].Close()
	_ = open[2].Close()
}

// serverRunner runs a server until it is stopped.
type serverRunner struct{ server *httpServer }

func (r *serverRunner) run() { _ = r.server.run() }

// recordedHandler counts its requests as running, and logs their outcomes.
type recordedHandler struct {
	requests masticdrain.Requests
	log      *logrus.Logger
	begun    chan struct{}
}

func (h *recordedHandler) ServeHTTP(_ http.ResponseWriter, q *http.Request) {
	running := h.requests.Begin("x1", time.Now())
	defer running.End()
	running.Set(running.Progress().WithStage(masticdrain.StageServer))
	close(h.begun)
	<-q.Context().Done()
	h.log.Info("outcome")
}

// TestHostEndsBeforeItsCutRequestsAreLogged: a host that closed its connections ended at once, without a line for the requests
// that this cut.
func TestHostEndsBeforeItsCutRequestsAreLogged(t *testing.T) {
	c := qt.New(t)
	log, lines := test.NewNullLogger()
	h := &recordedHandler{log: log, begun: make(chan struct{})}
	s, err := listen("127.0.0.1:0", &http.Server{Handler: h}, nil)
	c.Assert(err, qt.IsNil)
	s.requests, s.log = &h.requests, log
	a := &actorRunner{actor: s.run, ended: make(chan error, 1)}
	go a.run()
	q := &clientRequest{url: "http://" + s.address(), body: make(chan string, 1)}
	go q.run()
	<-h.begun
	now := time.Now()
	s.closeBy.Store(&now)
	s.stop(nil)
	var messages []string
	for _, l := range lines.AllEntries() {
		messages = append(messages, l.Message)
	}
	c.Assert(messages, qt.DeepEquals, []string{"request cut by the end of this host", "outcome"})
	c.Assert(lines.AllEntries()[0].Data["waitsFor"], qt.Equals, string(masticdrain.StageServer))
	<-q.body
	c.Assert(<-a.ended, qt.IsNil)
}

// waitingOperator answers with the error of its context.
type waitingOperator struct{ begun chan struct{} }

func (h *waitingOperator) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	close(h.begun)
	<-q.Context().Done()
	_, _ = io.WriteString(w, "whole")
}

// TestOperatorsCallIsCutByTheEndOfItsHost: a call of an operator that waited for the control group when its host was stopped was cut
// 2 s later, without a word on its outcome.
func TestOperatorsCallIsCutByTheEndOfItsHost(t *testing.T) {
	c := qt.New(t)
	h := &waitingOperator{begun: make(chan struct{})}
	s, err := listen("127.0.0.1:0", newAdminServer(h), nil)
	c.Assert(err, qt.IsNil)
	s.answerBeforeClose()
	a := &actorRunner{actor: s.run, ended: make(chan error, 1)}
	go a.run()
	q := &clientRequest{url: "http://" + s.address(), body: make(chan string, 1)}
	go q.run()
	<-h.begun
	s.stop(nil)
	c.Assert(<-q.body, qt.Equals, "whole")
	c.Assert(<-a.ended, qt.IsNil)
}
