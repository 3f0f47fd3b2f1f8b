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
