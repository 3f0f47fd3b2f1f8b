package masticgate

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticfake"
	"masticladder/masticview"
)

// slowCallerWriter takes the end of an answer once read is closed.
type slowCallerWriter struct {
	*httptest.ResponseRecorder
	flushing chan struct{}
	read     chan struct{}
}

func (w *slowCallerWriter) Flush() {
	close(w.flushing)
	<-w.read
}

// handlerRun serves one request.
type handlerRun struct {
	handler http.Handler
	writer  http.ResponseWriter
	request *http.Request
	done    chan struct{}
}

func (r *handlerRun) run() {
	defer close(r.done)
	r.handler.ServeHTTP(r.writer, r.request)
}

// TestPlannedStopDoesNotWaitForTheEndOfAnAnswer: a request no longer counted as running while its caller still read the end of the
// answer, so that a host without other requests ended and cut it.
func TestPlannedStopDoesNotWaitForTheEndOfAnAnswer(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t)
	b.addService(masticview.Service{Name: "lookups", Idempotent: true}, masticfake.NewService("lookups"))
	b.start()
	w := &slowCallerWriter{ResponseRecorder: httptest.NewRecorder(), flushing: make(chan struct{}), read: make(chan struct{})}
	request := httptest.NewRequest(http.MethodGet, "/services/lookups/a", nil)
	request.Header.Set("Authorization", "Bearer "+testKey)
	r := &handlerRun{handler: b.gate, writer: w, request: request, done: make(chan struct{})}
	go r.run()
	<-w.flushing
	c.Assert(b.gate.Running(), qt.Equals, 1)
	close(w.read)
	<-r.done
	c.Assert(b.gate.Running(), qt.Equals, 0)
}
