package masticengine

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// largeHandler answers each request with a body of the given size without a stated length.
type largeHandler struct{ size int }

func (h largeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	block := []byte(strings.Repeat("x", 64<<10))
	for range h.size / len(block) {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// largeCall calls a service and keeps its answer.
type largeCall struct {
	client *Client
	server masticview.Server
	id     string
	done   *sync.WaitGroup
	answer Answer
	err    error
}

func (x *largeCall) run(t *testing.T) {
	defer x.done.Done()
	x.answer, x.err = x.client.Do(t.Context(), Call{Server: x.server, RequestID: x.id, Method: http.MethodGet, Path: "/"})
}

// TestAnswersOfManyServersFillMemory: each answer that is not streamed had a bound of 32 MiB, those of all calls together
// had none.
func TestAnswersOfManyServersFillMemory(t *testing.T) {
	c := qt.New(t)
	const calls, size, limit = 32, 1 << 20, 6 << 20
	s := httptest.NewServer(largeHandler{size})
	c.Cleanup(s.Close)
	limits := DefaultLimits()
	limits.MaxAnswersBytes = limit
	client := New(WithLimits(limits))
	defer client.Close()
	var done sync.WaitGroup
	var all []*largeCall
	for i := range calls {
		x := &largeCall{client: client, server: masticview.Server{Name: "s", Kind: masticview.ServerService, URL: s.URL}, id: "q" + strconv.Itoa(i), done: &done}
		all = append(all, x)
		done.Add(1)
		go x.run(t)
	}
	done.Wait()
	kept, answered := 0, 0
	for _, x := range all {
		kept += len(x.answer.Body)
		if x.err == nil {
			answered++
		}
	}
	t.Logf("%d answers with %d bytes", answered, kept)
	c.Assert(kept <= limit, qt.IsTrue, qt.Commentf("%d bytes", kept))
	for _, x := range all {
		x.answer.Release()
	}
	c.Assert(client.AnswerBytes(), qt.Equals, int64(0))
	again := &largeCall{client: client, server: all[0].server, id: "again", done: &done}
	done.Add(1)
	again.run(t)
	c.Assert(again.err, qt.IsNil)
	c.Assert(again.answer.Body, qt.HasLen, size)
}

// partHandler answers each request with a stream that ends within an event.
type partHandler struct{ size int }

func (h partHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte("data: " + strings.Repeat("x", h.size)))
}

// TestEventsOfManyServersFillMemory: the event that each stream was in had a bound, those of all streams together had
// none.
func TestEventsOfManyServersFillMemory(t *testing.T) {
	c := qt.New(t)
	const streams, limit = 40, 2 << 20
	limits := DefaultLimits()
	limits.MaxAnswersBytes = limit
	s := httptest.NewServer(partHandler{limits.MaxEventBytes * 3 / 4})
	c.Cleanup(s.Close)
	client := New(WithLimits(limits))
	defer client.Close()
	kept, refused := 0, 0
	var open []*Stream
	for i := range streams {
		server := masticview.Server{Name: "s", Kind: masticview.ServerService, URL: s.URL}
		x, err := client.Stream(t.Context(), Call{Server: server, RequestID: "q" + strconv.Itoa(i), Method: http.MethodGet, Path: "/"})
		c.Assert(err, qt.IsNil)
		_, err = x.Next()
		c.Assert(err, qt.IsNotNil)
		if strings.Contains(err.Error(), errMemory.Error()) {
			refused++
			x.Close()
			continue
		}
		kept += x.decoder.Size()
		open = append(open, x)
	}
	t.Logf("%d streams keep %d bytes, %d refused", len(open), kept, refused)
	c.Assert(kept <= limit, qt.IsTrue, qt.Commentf("%d bytes", kept))
	for _, x := range open {
		x.Close()
	}
	c.Assert(client.AnswerBytes(), qt.Equals, int64(0))
}
