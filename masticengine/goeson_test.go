package masticengine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticstream"
	"masticladder/masticview"
)

// brokenStream returns the progress of a stream that broke off after two events.
func brokenStream() masticstream.Sequence {
	s := masticstream.NewSequence("q")
	for n := range uint64(2) {
		s, _ = s.Accept(masticstream.Event{RequestID: "q", Number: n, Numbered: true, Data: []byte("{}")})
	}
	return s
}

// TestAnswerThatDoesNotGoOnEndsStream checks that no answer of the next engine but one that goes on with a broken stream delivers an event
// or completes it.
func TestAnswerThatDoesNotGoOnEndsStream(t *testing.T) {
	event := func(n int, data string) string {
		return string(masticstream.AppendEvent(nil, "q", uint64(n), []byte(data)))
	}
	for _, x := range []struct {
		name, media, body string
		status            int
		events            int
		whole             bool
	}{
		{"goes on", "text/event-stream", event(2, "{}") + event(3, "[DONE]"), 200, 2, true},
		{"begins again", "text/event-stream", event(0, "{}") + event(1, "{}"), 200, 0, false},
		{"begins again with an end", "text/event-stream", event(0, "{}") + event(1, "[DONE]"), 200, 0, false},
		{"leaves an event out", "text/event-stream", event(3, "{}") + event(4, "[DONE]"), 200, 0, false},
		{"no event", "text/event-stream", "", 200, 0, false},
		{"text", "text/html", "<p>failed</p>", 200, 0, false},
		{"error", "application/json", `{"error":"failed"}`, 500, 0, false},
		{"error as a stream", "text/event-stream", event(2, `{"error":"failed"}`) + event(3, "[DONE]"), 503, 0, false},
		{"rejection", "application/json", `{"error":"failed"}`, 400, 0, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
				w.Header().Set(HeaderIncarnation, "i-1")
				if r.Method == http.MethodPost {
					w.Header().Set("Content-Type", x.media)
					w.WriteHeader(x.status)
					_, _ = io.WriteString(w, x.body)
				}
			}))
			defer s.Close()
			client := New()
			defer client.Close()
			stream, err := client.Stream(t.Context(), Call{
				Server:    masticview.Server{Name: "e", Kind: masticview.ServerEngine, URL: s.URL},
				RequestID: "q", Method: http.MethodPost, Path: "/v1/chat/completions", Sequence: brokenStream(),
			})
			events := 0
			for err == nil {
				if _, err = stream.Next(); err != nil {
					break
				}
				if events++; stream.Sequence().Ended() {
					break
				}
			}
			c.Assert(events, qt.Equals, x.events)
			c.Assert(err == nil, qt.Equals, x.whole)
			if stream != nil {
				stream.Close()
			}
		})
	}
}

// repeatingEngine refuses the first call and writes that refusal once more before its next answer on the same connection. It runs all other
// calls.
type repeatingEngine struct {
	listener net.Listener
	calls    atomic.Int64
	// repeated is the header that the second copy of a refusal states its request with.
	repeated string
}

func (e *repeatingEngine) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		c := &repeatingConn{engine: e, conn: conn}
		go c.run()
	}
}

type repeatingConn struct {
	engine *repeatingEngine
	conn   net.Conn
}

func (r *repeatingConn) run() {
	defer r.conn.Close()
	reader, refused := bufio.NewReader(r.conn), false
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		head := fmt.Sprintf("%s: %s\r\n%s: i-1\r\n", HeaderRequestID, q.Header.Get(HeaderRequestID), HeaderIncarnation)
		text := "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\n{}"
		switch {
		case q.Method == http.MethodPost && r.engine.calls.Add(1) == 1:
			text, refused = "HTTP/1.1 503 Busy\r\n"+head+"Content-Length: 0\r\n\r\n", true
		case refused:
			text = "HTTP/1.1 503 Busy\r\n" + r.engine.repeated + "Content-Length: 0\r\n\r\n" + text
		}
		if _, err := io.WriteString(r.conn, text); err != nil {
			return
		}
	}
}

// TestRepeatedRefusalOfEngineIsBelieved checks that a second copy of a refusal does not count as the answer to a later call that the engine
// runs.
func TestRepeatedRefusalOfEngineIsBelieved(t *testing.T) {
	for name, repeated := range map[string]string{"states no request": "", "states its request": HeaderRequestID + ": first\r\n"} {
		for _, second := range []string{"second", "first"} {
			t.Run(name+", then "+second, func(t *testing.T) {
				c := qt.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				defer l.Close()
				go (&repeatingEngine{listener: l, repeated: repeated}).run()
				client := New()
				defer client.Close()
				call := Call{
					Server:    masticview.Server{Name: "e", Kind: masticview.ServerEngine, URL: "http://" + l.Addr().String()},
					RequestID: "first", Method: http.MethodPost, Path: "/v1/completions",
				}
				_, err = client.Do(t.Context(), call)
				c.Assert(err, qt.ErrorMatches, "backendRefused.*")
				call.RequestID = second
				_, err = client.Do(t.Context(), call)
				c.Assert(err, qt.IsNil)
			})
		}
	}
}
