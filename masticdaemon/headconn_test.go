package masticdaemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticdocument"
	"masticladder/masticintake"
)

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// headSender sends a header, and reports when the connection has read or refused it.
type headSender struct {
	conn net.Conn
	head string
	sent chan struct{}
}

func (s *headSender) run() {
	_, _ = io.WriteString(s.conn, s.head)
	s.sent <- struct{}{}
}

// TestHeadersOfManyCallersFillMemory: each header had a bound, those of all connections together had none.
func TestHeadersOfManyCallersFillMemory(t *testing.T) {
	const callers, limit = 400, 4 << 20
	lines := func(prefix string, size int) string {
		var b strings.Builder
		b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n" + prefix)
		for i := 0; b.Len() < size; i++ {
			b.WriteString("X" + strconv.FormatInt(int64(i), 36) + ":\r\n")
		}
		return b.String()
	}
	for _, x := range []struct{ name, head string }{
		{"short lines", lines("", 60<<10)},
		{"short lines within the read buffer", lines("", 4000)},
		{"one line", lines("X: "+strings.Repeat("x", 60<<10), 0)},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			guard := masticintake.New(masticintake.Limits{Bytes: limit, HeadBytes: limit})
			answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			h, err := listen("127.0.0.1:0", &http.Server{Handler: answer, ReadHeaderTimeout: time.Hour, MaxHeaderBytes: 64 << 10}, nil)
			c.Assert(err, qt.IsNil)
			trackCallers(h, func() (masticdocument.Limits, bool) { return masticdocument.Limits{}, false })
			h.countIn(guard.Share(masticintake.ShareLimits{Connections: callers}))
			s := &limitedServer{http: h}
			go s.run()
			before := heapBytes()
			sent := make(chan struct{}, callers)
			var conns []net.Conn
			for range callers {
				conn, err := net.Dial("tcp", h.address())
				c.Assert(err, qt.IsNil)
				conns = append(conns, conn)
				sender := &headSender{conn: conn, head: x.head, sent: sent}
				go sender.run()
			}
			for range callers {
				<-sent
			}
			waitUntilSteady(guard)
			kept := heapBytes() - before
			t.Logf("%d connections keep %d bytes, reserved %d", callers, kept, guard.Usage().HeadBytes)
			c.Check(guard.Usage().HeadBytes <= limit, qt.IsTrue)
			// A connection without a request takes some 12 KiB, on both sides.
			c.Check(kept < 2*limit+callers*(16<<10), qt.IsTrue, qt.Commentf("%d bytes", kept))
			for _, conn := range conns {
				_ = conn.Close()
			}
			_ = h.server.Close()
		})
	}
}

// waitUntilSteady waits until the memory has not changed for some time.
func waitUntilSteady(g *masticintake.Guard) {
	const steadyTime = 300 * time.Millisecond
	used, since := g.Usage().HeadBytes, time.Now()
	for time.Since(since) < steadyTime {
		time.Sleep(10 * time.Millisecond)
		if now := g.Usage().HeadBytes; now != used {
			used, since = now, time.Now()
		}
	}
}

// TestHeaderIsCountedUntilItsRequestEnds checks that requests on one connection release their headers, that bodies are
// not counted, and that an ordinary request needs no room.
func TestHeaderIsCountedUntilItsRequestEnds(t *testing.T) {
	c := qt.New(t)
	guard := masticintake.New(masticintake.Limits{Bytes: 4 << 20, HeadBytes: 256 << 10})
	var used []int64
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		used = append(used, guard.Usage().HeadBytes)
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
	})
	h, err := listen("127.0.0.1:0", &http.Server{Handler: answer}, nil)
	c.Assert(err, qt.IsNil)
	trackCallers(h, func() (masticdocument.Limits, bool) { return masticdocument.Limits{}, false })
	h.countIn(guard.Share(masticintake.ShareLimits{Connections: 1}))
	s := &limitedServer{http: h}
	go s.run()
	c.Cleanup(func() { _ = h.server.Close() })
	conn, err := net.Dial("tcp", h.address())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	body := strings.Repeat("\n", 1<<20)
	for _, header := range []string{"", "X: " + strings.Repeat("x", 40<<10) + "\r\n", ""} {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n"+header+"\r\n"+body)
		c.Assert(err, qt.IsNil)
		a, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(a.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, strconv.Itoa(len(body)))
	}
	c.Assert(used, qt.HasLen, 3)
	c.Assert(used[0], qt.Equals, int64(0))
	c.Assert(used[1] > 64<<10, qt.IsTrue)
	c.Assert(used[2], qt.Equals, int64(0))
}
