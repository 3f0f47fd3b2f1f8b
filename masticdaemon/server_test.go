package masticdaemon

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
