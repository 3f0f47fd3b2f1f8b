package masticbackend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// endlessServer answers each connection with start, then with repeat until the connection breaks, with
// pause between two of them.
type endlessServer struct {
	listener      net.Listener
	start, repeat string
	pause         time.Duration
	written       chan int
}

func newEndlessServer(t *testing.T, start, repeat string, pause time.Duration) *endlessServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &endlessServer{listener: l, start: start, repeat: repeat, pause: pause, written: make(chan int, 1)}
	t.Cleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *endlessServer) run() {
	conn, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	n, err := io.WriteString(conn, s.start)
	total := n
	for err == nil {
		n, err = io.WriteString(conn, s.repeat)
		total += n
		time.Sleep(s.pause)
	}
	s.written <- total
}

// TestAnswerHeadWithoutEndFillsMemory: the head of an answer was read into memory up to the request's
// deadline, whatever its length.
func TestAnswerHeadWithoutEndFillsMemory(t *testing.T) {
	// A server can write this much to a client that has stopped reading: the buffers of the sockets.
	const maxWritten = 16 << 20
	block := strings.Repeat("x", 64<<10)
	for _, x := range []struct {
		name, start, repeat string
		pause               time.Duration
	}{
		{name: "status line", start: "HTTP/1.1 200 ", repeat: block},
		{name: "no answer at all", repeat: block},
		{name: "a long line that is no answer", start: block[:60<<10] + "\r\n", repeat: block},
		{name: "one header line", start: "HTTP/1.1 200 OK\r\nA: ", repeat: block},
		{name: "header lines", start: "HTTP/1.1 200 OK\r\n", repeat: "A: " + block[:1000] + "\r\n"},
		{name: "interim answers", repeat: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)},
		{name: "a byte now and then", start: "HTTP/1.1 200 OK\r\nA: ", repeat: "x", pause: 20 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newEndlessServer(t, x.start, x.repeat, x.pause)
			deadline := time.Now().Add(time.Minute)
			_, err := New().Do(t.Context(), Request{Address: s.listener.Addr().String(), ID: "q", Method: http.MethodGet, URI: "/", Host: "h", Deadline: deadline})
			c.Assert(err, qt.IsNotNil)
			c.Assert(len(err.Error()) < 1<<10, qt.IsTrue, qt.Commentf("an error of %d bytes", len(err.Error())))
			c.Assert(time.Now().Before(deadline), qt.IsTrue)
			c.Assert(<-s.written < maxWritten, qt.IsTrue)
		})
	}
}
