package masticrelay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticdocument"
)

// endPlan ends the host's plan, and returns once it has ended.
func (b *fixture) endPlan() {
	b.relay.Leave(time.Now())
	ctx, scope := b.relay.plan.Sent(context.Background())
	defer scope.End()
	<-ctx.Done()
}

// endingWriter ends the plan of its host while the header of a response is relayed.
type endingWriter struct {
	http.ResponseWriter
	fixture *fixture
}

func (w *endingWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	w.fixture.endPlan()
}

func (w *endingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// endingFront serves its fixture's requests with endingWriters.
type endingFront struct{ fixture *fixture }

func (f *endingFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.fixture.ServeHTTP(&endingWriter{ResponseWriter: w, fixture: f.fixture}, r)
}

// TestAnswerThatBeginsAsThePlanEndsIsCut: an answer whose header was relayed as the plan of its host ended was cut at once, before
// the host closed its connections, and the caller was told neither that the host ended nor the rest.
func TestAnswerThatBeginsAsThePlanEndsIsCut(t *testing.T) {
	long := strings.Repeat("x", 8<<20)
	answer := okHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)) + long
	for _, x := range []struct {
		name, answer string
		// before reports that the plan ends before the header is relayed, rather than after it.
		before bool
		status int
		body   string
	}{
		{"once it has begun", answer, false, http.StatusOK, long},
		{"before it has begun", answer, true, http.StatusServiceUnavailable, ""},
		{"before a short one has begun", okAnswer, true, http.StatusOK, "whole"},
		{"before a stream has begun", streamHead + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n", true, http.StatusServiceUnavailable, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c, once, newRawServer(c, x.answer))
			if x.before {
				b.dispatcher.firstToken = b.endPlan
			} else {
				front := httptest.NewServer(&endingFront{fixture: b})
				c.Cleanup(front.Close)
				b.front = front
			}
			status, body, whole := b.send(c)
			c.Assert(whole, qt.IsTrue)
			c.Assert(status, qt.Equals, x.status)
			c.Assert(body == x.body, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
		})
	}
}

// waitingRequest sends a request that waits, and keeps what its caller is told.
type waitingRequest struct {
	fixture *fixture
	status  int
	notRun  string
	done    chan struct{}
}

func (r *waitingRequest) run() {
	defer close(r.done)
	q, err := http.NewRequest(http.MethodPost, r.fixture.front.URL+"/a/x", strings.NewReader("the body"))
	if err != nil {
		return
	}
	q.Header.Set("Key", testKey)
	a, err := r.fixture.front.Client().Transport.RoundTrip(q)
	if err != nil {
		return
	}
	_ = a.Body.Close()
	r.status, r.notRun = a.StatusCode, a.Header.Get("Not-Run")
}

// TestRequestWaitsOnForAServerOfAStoppingHost: a request that no server had run waited until its host ended, though it would not be
// sent; one that a server may have run goes on until then.
func TestRequestWaitsOnForAServerOfAStoppingHost(t *testing.T) {
	for _, x := range []struct {
		name    string
		route   masticdocument.Route
		servers []string
		// refusesAll reports whether the host refuses all requests, not only those that may not be repeated.
		refusesAll, waitsOn bool
		notRun              string
	}{
		{"one that may not be repeated", once, nil, false, false, "true"},
		{"one that may, as the host stops", safe, nil, false, true, "true"},
		{"one that may, as the host refuses all", safe, nil, true, false, "true"},
		{"one that no server took", once, []string{notRunHead}, false, false, "true"},
		{"one that a server may have run", safe, []string{failure}, true, true, "false"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			var servers []*rawServer
			for _, answer := range x.servers {
				servers = append(servers, newRawServer(c, answer))
			}
			b := newFixture(c, x.route, servers...)
			b.dispatcher.waiting = make(chan context.Context, 1)
			r := &waitingRequest{fixture: b, done: make(chan struct{})}
			go r.run()
			ctx := <-b.dispatcher.waiting
			b.relay.Leave(time.Now().Add(4 * time.Second))
			if x.refusesAll {
				b.relay.RefuseBeyondEnd()
			}
			c.Assert(ctx.Err() == nil, qt.Equals, x.waitsOn)
			b.endPlan()
			<-r.done
			c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(r.notRun, qt.Equals, x.notRun)
		})
	}
}

// TestResumedStreamIsCutAsThePlanEnds: a stream that another server resumes goes on after the plan has ended, like any that has begun.
func TestResumedStreamIsCutAsThePlanEnds(t *testing.T) {
	c := qt.New(t)
	const events = 100
	var rest, want strings.Builder
	want.WriteString(event(1))
	for i := 2; i <= events; i++ {
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 64<<10))
		rest.WriteString(chunk(e))
		want.WriteString(e)
	}
	b := newFixture(c, resumable, newRawServer(c, streamHead+chunk(event(1))+"CUT"), newRawServer(c, streamHead+rest.String()+"0\r\n\r\n"))
	attempts := 0
	b.dispatcher.firstToken = func() {
		if attempts++; attempts == 2 {
			b.endPlan()
		}
	}
	status, body, whole := b.send(c)
	c.Assert(attempts, qt.Equals, 2)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(whole, qt.IsTrue)
	c.Assert(body == want.String(), qt.IsTrue, qt.Commentf("%d bytes", len(body)))
}

// TestStoppingHostSendsOnARequestThatAServerRefused: a request that a server has not run was given to a second one by a host that
// refused it by then.
func TestStoppingHostSendsOnARequestThatAServerRefused(t *testing.T) {
	c := qt.New(t)
	second := newRawServer(c, okAnswer)
	b := newFixture(c, once, newRawServer(c, notRunHead), second)
	b.dispatcher.beforeAssign = func(assigned int) {
		if assigned == 1 {
			b.relay.Leave(time.Now().Add(4 * time.Second))
		}
	}
	status, _, _ := b.send(c)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(second.received(), qt.HasLen, 0)
}

// TestStoppingHostChecksTheServersOfUnansweredRequests: a request that ends with its host says nothing about its server, which would
// otherwise be checked and could be reported as failed.
func TestStoppingHostChecksTheServersOfUnansweredRequests(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, "")
	b := newFixture(c, once, server)
	r := &waitingRequest{fixture: b, done: make(chan struct{})}
	go r.run()
	for len(server.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.endPlan()
	<-r.done
	c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(r.notRun, qt.Equals, "false")
	c.Assert(server.checks.Load(), qt.Equals, int64(0))
}
