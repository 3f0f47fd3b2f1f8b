package masticgate

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticstream"
	"masticladder/masticview"
)

// nullBackend answers every request with a fixed number of events, each in a write of its own,
// and does nothing else.
type nullBackend struct {
	listener net.Listener
	tokens   int
	// pace, if not nil, is received from before each event after the first.
	pace chan struct{}
}

func (n *nullBackend) loop() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		k := nullConn{backend: n, conn: c, reader: bufio.NewReader(c)}
		go k.run()
	}
}

// nullConn is one connection of a nullBackend.
type nullConn struct {
	backend *nullBackend
	conn    net.Conn
	reader  *bufio.Reader
}

func (k *nullConn) run() {
	defer k.conn.Close()
	for {
		id, length, err := k.header()
		if err != nil {
			return
		}
		if _, err := k.reader.Discard(length); err != nil {
			return
		}
		if err := k.answer(id); err != nil {
			return
		}
	}
}

// header reads a request's header and returns the request's identifier and body length.
func (k *nullConn) header() (string, int, error) {
	id, length := "", 0
	for {
		line, err := k.reader.ReadString('\n')
		if err != nil {
			return "", 0, err
		}
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "":
			return id, length, nil
		case "X-Request-Id":
			id = value
		case "Content-Length":
			length, _ = strconv.Atoi(value)
		}
	}
}

func (k *nullConn) answer(id string) error {
	if id == "" {
		_, err := io.WriteString(k.conn, "HTTP/1.1 200 OK\r\nX-Server-Incarnation: 1\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	_, err := fmt.Fprintf(k.conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\n"+
		"X-Server-Incarnation: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	data := []byte(`{"id":"chatcmpl-1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"0123abcd "},"finish_reason":null}]}`)
	var chunk []byte
	for i := 0; i <= k.backend.tokens && err == nil; i++ {
		if i == k.backend.tokens {
			data = []byte(masticstream.EndMark)
		}
		if i > 0 && k.backend.pace != nil {
			<-k.backend.pace
		}
		event := masticstream.AppendEvent(nil, id, uint64(i), data)
		chunk = append(strconv.AppendInt(chunk[:0], int64(len(event)), 16), "\r\n"...)
		chunk = append(append(chunk, event...), "\r\n"...)
		_, err = k.conn.Write(chunk)
	}
	if err == nil {
		_, err = io.WriteString(k.conn, "0\r\n\r\n")
	}
	return err
}

// benchmarkStream requests one stream after the other from address over one connection.
func benchmarkStream(b *testing.B, c *qt.C, address, body string, pace chan struct{}) {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	q := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nX-Request-Id: direct\r\nContent-Length: %d\r\n\r\n%s",
		testKey, len(body), body)
	buffer := make([]byte, 64<<10)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(conn, q)
		c.Assert(err, qt.IsNil)
		for kept := 0; !bytes.HasSuffix(buffer[:kept], []byte("\r\n0\r\n\r\n")); {
			kept = copy(buffer, buffer[max(0, kept-16):kept])
			n, err := conn.Read(buffer[kept:])
			c.Assert(err, qt.IsNil)
			if pace != nil {
				for range bytes.Count(buffer[kept:kept+n], []byte("data: {")) {
					pace <- struct{}{}
				}
			}
			kept += n
		}
	}
}

// BenchmarkStream measures a stream through the gate and directly from the null backend; the
// difference is the cost of the gate. In a paced stream, each token is sent after the caller has
// received the previous one. Run it with -cpu 1.
func BenchmarkStream(b *testing.B) {
	for _, size := range []struct {
		prompt, tokens int
		paced          bool
	}{{2_000, 1, false}, {2_000, 1_001, false}, {2_000, 1_001, true}, {20_000, 1, false}, {200_000, 1, false}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c := qt.New(b)
		c.Assert(err, qt.IsNil)
		n := &nullBackend{listener: l, tokens: size.tokens}
		if size.paced {
			n.pace = make(chan struct{}, size.tokens)
		}
		go n.loop()
		body := chatBody(true, strings.Repeat("x", size.prompt))
		name := fmt.Sprintf("prompt=%d/tokens=%d/paced=%v", size.prompt, size.tokens, size.paced)
		b.Run(name+"/direct", func(b *testing.B) { benchmarkStream(b, c, l.Addr().String(), body, n.pace) })
		b.Run(name+"/gate", func(b *testing.B) {
			d := newFixture(b)
			d.views.change(func(v masticview.View) masticview.View {
				return v.WithServer(masticview.Server{
					Name: "null", Kind: masticview.ServerEngine, URL: "http://" + l.Addr().String(), Models: []string{testModel},
				})
			})
			d.start()
			benchmarkStream(b, c, strings.TrimPrefix(d.server.URL, "http://"), body, n.pace)
		})
		c.Assert(l.Close(), qt.IsNil)
	}
}
