package masticengine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// headServer sends the begin of a head on each connection.
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
		x := &headConn{server: s, conn: conn}
		go x.run()
	}
}

type headConn struct {
	server *headServer
	conn   net.Conn
}

func (x *headConn) run() {
	defer x.conn.Close()
	reader := bufio.NewReaderSize(x.conn, 512)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	_, _ = io.WriteString(x.conn, x.server.head)
	_, _ = io.Copy(io.Discard, reader)
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestHeadsOfManyServersFillMemory: the head of each answer had a bound of 64 KiB, of which short lines take many times;
// those of all answers together had none.
func TestHeadsOfManyServersFillMemory(t *testing.T) {
	const streams, limit, maxKept = 100, 8 << 20, 20 << 20
	for name, headBytes := range map[string]int{"60 KiB": 60 << 10, "12 KiB": 12 << 10} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var lines strings.Builder
			for i := 0; lines.Len() < headBytes; i++ {
				lines.WriteString("X" + strconv.FormatInt(int64(i), 36) + ":\r\n")
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			s := &headServer{listener: l, head: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + lines.String() + "\r\n"}
			go s.run()
			limits := DefaultLimits()
			limits.MaxAnswersBytes = limit
			client := New(WithLimits(limits))
			defer client.Close()
			before := heapBytes()
			var open []*Stream
			for i := range streams {
				server := masticview.Server{Name: "s", Kind: masticview.ServerService, URL: "http://" + l.Addr().String()}
				x, err := client.Stream(t.Context(), Call{Server: server, RequestID: "q" + strconv.Itoa(i), Method: http.MethodGet, Path: "/", Once: true})
				if err == nil {
					open = append(open, x)
				}
			}
			kept := heapBytes() - before
			t.Logf("%d streams keep %d bytes, %d counted", len(open), kept, client.AnswerBytes())
			c.Assert(kept < maxKept, qt.IsTrue, qt.Commentf("%d bytes in %d streams", kept, len(open)))
			for _, x := range open {
				x.Close()
			}
			c.Assert(client.AnswerBytes(), qt.Equals, int64(0))
		})
	}
}
