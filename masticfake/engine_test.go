package masticfake

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func post(h http.Handler, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w
}

func get(h http.Handler, path string) string {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
	return w.Body.String()
}

func complete(e *Engine, prompt string) string {
	return post(e, "/v1/completions", fmt.Sprintf(`{"model":"m","prompt":%q}`, prompt)).Body.String()
}

func TestPrefixCache(t *testing.T) {
	c := qt.New(t)
	e := NewEngine("e", WithModel("m", "1"), WithCache(4, 8))
	first := strings.Repeat("a", 24)
	c.Assert(complete(e, first), qt.Contains, `"cached_tokens":0`)
	c.Assert(complete(e, first), qt.Contains, `"cached_tokens":6`)
	c.Assert(complete(e, strings.Repeat("b", 24)), qt.Contains, `"cached_tokens":0`)
	c.Assert(complete(e, first), qt.Contains, `"cached_tokens":0`)
	e.Crash()
	c.Assert(complete(e, first), qt.Contains, `"cached_tokens":0`)
	c.Assert(e.Incarnation(), qt.Equals, "e-2")
}

func TestEventsHaveGaps(t *testing.T) {
	c := qt.New(t)
	e := NewEngine("e", WithModel("m", "1"), WithCache(8, 8), WithEventGaps(3))
	complete(e, strings.Repeat("a", 40))
	events := get(e, "/events?from=1")
	c.Assert(events, qt.Contains, `"sequence":1,`)
	c.Assert(events, qt.Not(qt.Contains), `"sequence":2,`)
	c.Assert(events, qt.Contains, `"sequence":3,`)
	c.Assert(events, qt.Contains, `"next":5`)
}

func TestFencing(t *testing.T) {
	c := qt.New(t)
	for _, checks := range []bool{true, false} {
		options := []Option{WithModel("m", "1")}
		if checks {
			options = append(options, WithFencing())
		}
		e := NewEngine("e", options...)
		c.Assert(post(e, "/admin/load", `{"model":"n","weightsVersion":"2","term":2,"sequence":1}`).Code, qt.Equals, http.StatusOK)
		old := post(e, "/admin/role", `{"role":"prefill","term":1,"sequence":9}`)
		c.Assert(old.Code == http.StatusConflict, qt.Equals, checks)
		c.Assert(get(e, "/load"), qt.Contains, `"n":"2"`)
	}
}

func TestSlotsByPriority(t *testing.T) {
	c := qt.New(t)
	s := newSlots(1)
	c.Assert(s.acquire(context.Background(), 0), qt.IsNil)
	late, urgent, equal := s.enqueue(5), s.enqueue(1), s.enqueue(5)
	s.release()
	<-urgent.ready
	s.release()
	<-late.ready
	s.cancelWait(equal)
	s.release()
	c.Assert(s.inUse(), qt.Equals, 0)
}
