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
)

// heldHandler answers when it is told to.
type heldHandler struct{ begun, release chan struct{} }

func (h *heldHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	close(h.begun)
	<-h.release
	_, _ = io.WriteString(w, "whole")
}

// actorRun runs an actor and keeps its end.
type actorRun struct {
	actor func() error
	ended chan error
}

func (a *actorRun) run() { a.ended <- a.actor() }

// asked is one request and its outcome.
type asked struct {
	url  string
	body chan string
}

func (a *asked) run() {
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

// TestShutdownLeavesTheActorRunning replays SIGTERM under load: the actor that serves callers
// ended as soon as its listener closed, and the host with it, while requests were under way.
func TestShutdownLeavesTheActorRunning(t *testing.T) {
	c := qt.New(t)
	h := &heldHandler{begun: make(chan struct{}), release: make(chan struct{})}
	s, err := listen("127.0.0.1:0", &http.Server{Handler: h}, nil)
	c.Assert(err, qt.IsNil)
	a := &actorRun{actor: s.runUntilStopped, ended: make(chan error, 1)}
	go a.run()
	q := &asked{url: "http://" + s.address(), body: make(chan string, 1)}
	go q.run()
	<-h.begun
	bounded, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Assert(s.server.Shutdown(bounded), qt.Equals, context.DeadlineExceeded)
	select {
	case err := <-a.ended:
		t.Fatalf("the actor ended with a request under way: %v", err)
	default:
	}
	close(h.release)
	c.Assert(<-q.body, qt.Equals, "whole")
	s.stop(nil)
	c.Assert(<-a.ended, qt.IsNil)
}

// TestCallersLeaveDescriptors: more callers than their part of the descriptors allows wait
// until one leaves; the host keeps the rest for backend servers.
func TestCallersLeaveDescriptors(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	n, err := NewNode(NodeSettings{Peer: "127.0.0.1:0", Founders: []string{"127.0.0.1:1"}, Callers: "127.0.0.1:0", Descriptors: 4}, Protocols{}, log)
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	c.Assert(n.ServeCallers(server), qt.IsNil)
	defer func() { n.End(); c.Check(n.Run(), qt.IsNil) }()
	r := &httpRun{server: n.callers}
	go r.run()

	var open []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", n.callers.address())
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		open = append(open, conn)
	}
	answered := func(conn net.Conn) {
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.StatusCode, qt.Equals, http.StatusNoContent)
	}
	answered(open[0])
	answered(open[1])
	// A slow machine cannot make this red: nothing may come, however long one waits.
	_ = open[2].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = open[2].Read(make([]byte, 1))
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	_ = open[2].SetReadDeadline(time.Time{})
	c.Assert(open[0].Close(), qt.IsNil)
	answered(open[2])
	_ = open[1].Close()
	_ = open[2].Close()
}

// httpRun serves until the server is stopped.
type httpRun struct{ server *httpServer }

func (r *httpRun) run() { _ = r.server.run() }
