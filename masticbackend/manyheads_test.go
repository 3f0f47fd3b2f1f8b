package masticbackend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticbody"
)

// headServer answers the request of each connection with the same head and leaves the connection open.
type headServer struct {
	listener net.Listener
	head     string
}

func (s *headServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		x := &headConn{conn: conn, head: s.head}
		go x.run()
	}
}

type headConn struct {
	conn net.Conn
	head string
}

func (x *headConn) run() {
	defer x.conn.Close()
	reader := bufio.NewReaderSize(x.conn, 512)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	_, _ = io.WriteString(x.conn, x.head)
	_, _ = io.Copy(io.Discard, reader)
}

// caller sends requests one after the other, and keeps their answers.
type caller struct {
	client  *Client
	address string
	count   int
	done    *sync.WaitGroup
	answers []*Answer
}

func (x *caller) run(t *testing.T) {
	defer x.done.Done()
	for range x.count {
		a, err := x.client.Do(t.Context(), Request{Address: x.address, Method: http.MethodGet, URI: "/", Host: "h", Deadline: time.Now().Add(time.Minute)})
		var f *Failure
		switch {
		case err == nil:
			x.answers = append(x.answers, a)
		case errors.Is(err, errHeadMemory) && errors.As(err, &f) && f.ServerEnded:
			t.Error("a server is suspected because this host has no room")
		}
	}
}

// headLines returns header lines with names of their own, size bytes in all.
func headLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString("X" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestHeadsOfManyServersFillMemory: each head was bounded by its bytes, the informational ones before it each by the
// same again, and the heads of all answers together by nothing; a short line takes many times its size.
func TestHeadsOfManyServersFillMemory(t *testing.T) {
	const servers, requests, maxHeadsBytes = 20, 10, 8 << 20
	// Besides the heads, an answer that is not closed keeps its connection.
	const maxKept = 2 * maxHeadsBytes
	lines := headLines(60 << 10)
	for _, x := range []struct{ name, head string }{
		{"informational answers", strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+lines+"\r\n", 5) + "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + lines + "\r\n"},
		{"many lines", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + lines + "\r\n"},
		{"short", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4000\r\nX: y\r\n\r\n" + strings.Repeat("\n", 4000)},
		{"long line", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX: " + strings.Repeat("x", 60<<10) + "\r\n\r\n"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			budget := masticbody.NewBudget(maxHeadsBytes)
			client := New(WithHeadBudget(budget))
			var done sync.WaitGroup
			var callers []*caller
			before := heapBytes()
			for range servers {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				defer l.Close()
				s := &headServer{listener: l, head: x.head}
				go s.run()
				p := &caller{client: client, address: l.Addr().String(), count: requests, done: &done}
				callers = append(callers, p)
				done.Add(1)
				go p.run(t)
			}
			done.Wait()
			kept, answers := heapBytes()-before, 0
			c.Assert(budget.Used() <= maxHeadsBytes, qt.IsTrue)
			for _, p := range callers {
				answers += len(p.answers)
				for _, a := range p.answers {
					a.Close()
				}
			}
			t.Logf("%d answers keep %d bytes", answers, kept)
			c.Assert(budget.Used(), qt.Equals, int64(0))
			c.Assert(answers == servers*requests, qt.Equals, x.name == "short")
			c.Assert(kept < maxKept, qt.IsTrue, qt.Commentf("%d bytes in %d answers", kept, answers))
		})
	}
}
