package masticengine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// endlessEngine answers its first connection with a header that has no end.
type endlessEngine struct {
	listener net.Listener
	line     string
	written  chan int
}

func (e *endlessEngine) run() {
	conn, err := e.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	n, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	for total := n; ; total += n {
		if err != nil {
			e.written <- total
			return
		}
		n, err = io.WriteString(conn, e.line)
	}
}

// TestHeaderWithoutEndFillsMemory: the client read up to 10 MB of an answer's header for each call.
func TestHeaderWithoutEndFillsMemory(t *testing.T) {
	for name, line := range map[string]string{
		"one line": strings.Repeat("x", 1<<10), "lines": "A: " + strings.Repeat("x", 1<<10) + "\r\n",
		"interim answers": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			e := &endlessEngine{listener: l, line: line, written: make(chan int, 1)}
			go e.run()
			client := New()
			defer client.Close()
			server := masticview.Server{Name: "s", Kind: masticview.ServerService, URL: "http://" + l.Addr().String()}
			_, err = client.Do(t.Context(), Call{Server: server, RequestID: "q", Method: http.MethodGet, Path: "/", Once: true})
			c.Assert(err, qt.IsNotNil)
			// What the client takes, and what the buffers of the sockets hold.
			c.Assert(<-e.written < 8<<20, qt.IsTrue)
			c.Assert(client.singleUse.MaxResponseHeaderBytes <= 64<<10, qt.IsTrue)
		})
	}
}
