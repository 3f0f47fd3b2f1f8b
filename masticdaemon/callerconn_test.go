package masticdaemon

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticdocument"
)

// limitedServer serves with the timeouts of a document that changes.
type limitedServer struct {
	http     *httpServer
	document atomic.Pointer[masticdocument.Limits]
}

func (s *limitedServer) run() { _ = s.http.run() }

func (s *limitedServer) limits() (masticdocument.Limits, bool) {
	l := s.document.Load()
	if l == nil {
		return masticdocument.Limits{}, false
	}
	return *l, true
}

func newLimitedServer(c *qt.C) *limitedServer {
	const longer = time.Hour
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	h, err := listen("127.0.0.1:0", &http.Server{Handler: answer, ReadHeaderTimeout: longer, IdleTimeout: longer}, nil)
	c.Assert(err, qt.IsNil)
	s := &limitedServer{http: h}
	trackCallers(h, s.limits)
	go s.run()
	c.Cleanup(func() { _ = h.server.Close() })
	return s
}

// trickle sends text, a byte now and then, until the connection breaks.
type trickle struct {
	conn net.Conn
	text string
}

func (t *trickle) run() {
	for i := range t.text {
		if _, err := io.WriteString(t.conn, t.text[i:i+1]); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestTimeoutsOfDocumentAreIgnored: callers' connections were kept for the constants of the program,
// whatever the document said.
func TestTimeoutsOfDocumentAreIgnored(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	const answer = "HTTP/1.1 200 OK"
	limits := masticdocument.Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	long := masticdocument.Limits{HeaderTimeout: time.Hour, IdleTimeout: time.Hour}
	for _, x := range []struct {
		name        string
		first, then masticdocument.Limits
		// begins is sent at once and slowly afterwards.
		begins, slowly string
	}{
		{name: "nothing is sent", first: limits, then: limits},
		{name: "header line by line", first: limits, then: limits, begins: "GET / HTTP/1.1\r\n", slowly: "Host: a-host-name-that-takes-a-while-to-send\r\nA: a-line-that-takes-longer-still\r\n\r\n"},
		{name: "idle after a request", first: limits, then: limits, begins: request},
		{name: "idle under a newer document", first: long, then: limits, begins: request},
		{name: "second header line by line", first: masticdocument.Limits{HeaderTimeout: limits.HeaderTimeout, IdleTimeout: time.Hour}, begins: request, slowly: "GET / HTTP/1.1\r\nHost: a-host-name-that-takes-a-while-to-send\r\nA: a-line-that-takes-longer-still\r\n\r\n"},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newLimitedServer(c)
			s.document.Store(&x.first)
			conn, err := net.Dial("tcp", s.http.address())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			c.Assert(conn.SetDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
			if x.then != (masticdocument.Limits{}) {
				s.document.Store(&x.then)
			}
			_, err = io.WriteString(conn, x.begins)
			c.Assert(err, qt.IsNil)
			go (&trickle{conn, x.slowly}).run()
			got, err := io.ReadAll(conn)
			c.Assert(isTimeout(err), qt.IsFalse, qt.Commentf("still open: %v", err))
			c.Assert(len(got) > 0, qt.Equals, x.begins == request)
			if len(got) > 0 {
				c.Assert(string(got[:len(answer)]), qt.Equals, answer)
			}
		})
	}
}

// isTimeout reports whether err is that of the test's own deadline.
func isTimeout(err error) bool {
	var x net.Error
	return errors.As(err, &x) && x.Timeout()
}
