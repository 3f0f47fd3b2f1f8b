package masticengine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticfake"
	"masticladder/masticview"
)

// verdictRecorder keeps the verdicts that a client reports.
type verdictRecorder struct {
	mutex    sync.Mutex
	verdicts []masticcall.Verdict
}

func (v *verdictRecorder) report(r masticcall.ServerReport) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.verdicts = append(v.verdicts, r.Verdict)
}

func (v *verdictRecorder) contains(x masticcall.Verdict) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return slices.Contains(v.verdicts, x)
}

// busyEngine breaks the connections of model requests, and those of its probes while it is full.
type busyEngine struct {
	mutex sync.Mutex
	full  bool
}

func (b *busyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mutex.Lock()
	full := b.full
	b.mutex.Unlock()
	if full || r.Method == http.MethodPost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderIncarnation, "one")
}

func (b *busyEngine) setFull(full bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.full = full
}

// TestFailedProbeCountsAsEnd: an engine that reset the probe after a broken connection, as a full one
// does, counted as ended, and two of them quarantined a harmless request.
func TestFailedProbeCountsAsEnd(t *testing.T) {
	c := qt.New(t)
	var verdicts verdictRecorder
	client := New(WithServerEnded(verdicts.report))
	defer client.Close()
	e := &busyEngine{}
	server, err := masticfake.Serve(e)
	c.Assert(err, qt.IsNil)
	defer server.Down()
	call := Call{
		Server:    masticview.Server{Name: "engine-1", Kind: masticview.ServerEngine, URL: server.URL()},
		RequestID: "r", Method: http.MethodPost, Path: "/v1/completions",
	}
	c.Assert(client.ensureIncarnation(context.Background(), call.Server), qt.IsNil)
	e.setFull(true)
	_, err = client.Do(context.Background(), call)
	c.Assert(err, qt.ErrorMatches, "backendFailed.*")
	c.Assert(verdicts.contains(masticcall.VerdictEnded), qt.IsFalse)
	e.setFull(false)
	for !verdicts.contains(masticcall.VerdictAlive) {
		c.Assert(verdicts.contains(masticcall.VerdictEnded), qt.IsFalse)
		time.Sleep(10 * time.Millisecond)
	}
}

// dyingService breaks the connection of each call, and closes its port a while later.
type dyingService struct{ server *masticfake.Server }

func (s *dyingService) ServeHTTP(http.ResponseWriter, *http.Request) {
	time.AfterFunc(50*time.Millisecond, s.server.Down)
	panic(http.ErrAbortHandler)
}

// TestServiceThatClosesItsPortLaterIsNotReported: a plain service's server whose port was open when it
// was checked, right after its connections had broken, was not reported.
func TestServiceThatClosesItsPortLaterIsNotReported(t *testing.T) {
	c := qt.New(t)
	var verdicts verdictRecorder
	client := New(WithServerEnded(verdicts.report))
	defer client.Close()
	s := &dyingService{}
	server, err := masticfake.Serve(s)
	c.Assert(err, qt.IsNil)
	s.server = server
	_, err = client.Do(context.Background(), Call{
		Server:    masticview.Server{Name: "desk-1", Kind: masticview.ServerService, URL: server.URL()},
		RequestID: "r", Method: http.MethodPost, Path: "/x",
	})
	c.Assert(err, qt.ErrorMatches, "backendFailed.*")
	// Signs are joined for 10 s after a failure.
	deadline := time.Now().Add(10 * time.Second)
	for !verdicts.contains(masticcall.VerdictEnded) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestServiceOverTLSIsCheckedWithoutTLS: the check of a plain service used http whatever its URL, so that a
// service over TLS would have been lost after each broken connection.
func TestServiceOverTLSIsCheckedWithoutTLS(t *testing.T) {
	for _, scheme := range []string{"http", "https"} {
		q := pingRequest(masticview.Server{URL: scheme + "://127.0.0.1:8080"})
		qt.Assert(t, q.URL.Scheme, qt.Equals, scheme)
		qt.Assert(t, q.URL.Host, qt.Equals, "127.0.0.1:8080")
		qt.Assert(t, q.URL.RequestURI(), qt.Equals, "*")
	}
}

// silentEngine answers neither model requests nor, once it has fallen silent, anything else.
type silentEngine struct {
	silent atomic.Bool
	ended  chan struct{}
}

func (s *silentEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		s.silent.Store(true)
	}
	if s.silent.Load() {
		<-s.ended
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderIncarnation, "one")
}

// TestTrialOfSilentEngineIsNotReported: a call with a hold that got no answer until its caller gave it up was put down to the caller, and
// the hold ended before anything was known of the server.
func TestTrialOfSilentEngineIsNotReported(t *testing.T) {
	for _, held := range []bool{true, false} {
		c := qt.New(t)
		var verdicts verdictRecorder
		client := New(WithServerEnded(verdicts.report))
		e := &silentEngine{ended: make(chan struct{})}
		server, err := masticfake.Serve(e)
		c.Assert(err, qt.IsNil)
		call := Call{
			Server:    masticview.Server{Name: "engine-1", Kind: masticview.ServerEngine, URL: server.URL()},
			RequestID: "r", Method: http.MethodPost, Path: "/v1/completions", Held: held,
		}
		c.Assert(client.ensureIncarnation(t.Context(), call.Server), qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		_, err = client.Do(ctx, call)
		cancel()
		c.Assert(err, qt.IsNotNil)
		c.Assert(verdicts.contains(masticcall.VerdictLost), qt.Equals, held)
		close(e.ended)
		client.Close()
		server.Down()
	}
}
