package masticengine

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticstream"
	"masticladder/masticview"
)

// slowEngine streams events, and then filler until its caller leaves, with a pause before each.
type slowEngine struct {
	events int
	filler string
	pause  time.Duration
}

func (e *slowEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set(HeaderIncarnation, "i-1")
	if r.Method == http.MethodGet {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := 0; r.Context().Err() == nil; n++ {
		text := e.filler
		switch {
		case n < e.events:
			text = string(masticstream.AppendEvent(nil, r.Header.Get(HeaderRequestID), uint64(n), []byte(`{}`)))
		case e.filler == "":
			text = string(masticstream.AppendEvent(nil, r.Header.Get(HeaderRequestID), uint64(n), []byte(`[DONE]`)))
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		_ = flusher.Flush()
		if n >= e.events && e.filler == "" {
			return
		}
		time.Sleep(e.pause)
	}
}

// TestStalledStreamNeverEnds checks that a stream which sends bytes without events ends in time, before
// and after its first event, and that one which takes longer than every timeout in all is not cut.
func TestStalledStreamNeverEnds(t *testing.T) {
	for _, x := range []struct {
		name   string
		engine slowEngine
		whole  bool
	}{
		{"slow events", slowEngine{events: 40, pause: 50 * time.Millisecond}, true},
		{"comments after an event", slowEngine{events: 1, filler: ": still here\n", pause: 50 * time.Millisecond}, false},
		{"comments only", slowEngine{filler: ": still here\n", pause: 50 * time.Millisecond}, false},
		{"parts of an event", slowEngine{events: 1, filler: "x", pause: 50 * time.Millisecond}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := httptest.NewServer(&x.engine)
			defer s.Close()
			limits := DefaultLimits()
			limits.FirstEventTimeoutMillis, limits.NextEventTimeoutMillis = 1_500, 1_500
			client := New(WithLimits(limits))
			defer client.Close()
			stream, err := client.Stream(t.Context(), Call{
				Server:    masticview.Server{Name: "e", Kind: masticview.ServerEngine, URL: s.URL},
				RequestID: "q", Method: http.MethodPost, Path: "/v1/chat/completions", Sequence: masticstream.NewSequence("q"),
			})
			c.Assert(err, qt.IsNil)
			defer stream.Close()
			events := 0
			for err == nil && !stream.Sequence().Ended() {
				if _, err = stream.Next(); err == nil {
					events++
				}
			}
			if x.whole {
				c.Assert(err, qt.IsNil)
				c.Assert(events, qt.Equals, x.engine.events+1)
				return
			}
			var f *Failure
			c.Assert(errors.As(err, &f), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(f.Err.Kind(), qt.Not(qt.Equals), masticerror.KindCancelled, qt.Commentf("%s", fmt.Sprint(f.Err)))
			c.Assert(events, qt.Equals, x.engine.events)
		})
	}
}
