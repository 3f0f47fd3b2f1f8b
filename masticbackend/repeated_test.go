package masticbackend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// repeatingServer refuses the requests whose ID is in refuses, once each, and writes each refusal once more before its next answer
// on the same connection.
type repeatingServer struct {
	listener net.Listener
	// header returns the line that a refusal states its request with.
	header func(id string) string

	mutex   sync.Mutex
	refuses map[string]bool
	ran     map[string]int
	conns   int
}

func (s *repeatingServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.conns++
		s.mutex.Unlock()
		c := &repeatingConn{server: s, conn: conn}
		go c.run()
	}
}

type repeatingConn struct {
	server *repeatingServer
	conn   net.Conn
}

func (c *repeatingConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	repeated := ""
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := q.Header.Get("Id")
		c.server.mutex.Lock()
		refuse := c.server.refuses[id]
		delete(c.server.refuses, id)
		if !refuse {
			c.server.ran[id]++
		}
		c.server.mutex.Unlock()
		text := repeated + "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
		if refuse {
			repeated = "HTTP/1.1 503 Busy\r\n" + c.server.header(id) + "Content-Length: 0\r\n\r\n"
			text = "HTTP/1.1 503 Busy\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
		} else {
			repeated = ""
		}
		if _, err := io.WriteString(c.conn, text); err != nil {
			return
		}
	}
}

// TestRepeatedRefusalIsTakenForAnother: a server refused a request and wrote that refusal once more before its answer to a later one on
// the same connection. Without an identifier, the later request was reported as not run, and had run. The same held if a request
// came back to the connection on which it had been refused.
func TestRepeatedRefusalIsTakenForAnother(t *testing.T) {
	for name, header := range map[string]func(id string) string{
		"states its request": func(id string) string { return "Id: " + id + "\r\n" },
		"states no request":  func(string) string { return "" },
		"states another":     func(string) string { return "Id: other\r\n" },
	} {
		for _, second := range []string{"second", "first"} {
			t.Run(name+", then "+second, func(t *testing.T) {
				c := qt.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				defer l.Close()
				s := &repeatingServer{listener: l, header: header, refuses: map[string]bool{"first": true}, ran: map[string]int{}}
				go s.run()
				client := New(WithIdentify(func(h map[string][]string) string { return http.Header(h).Get("Id") }))
				send := func(id string) (int, error) {
					a, err := client.Do(t.Context(), Request{
						Address: l.Addr().String(), ID: id, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {id}}, Deadline: time.Now().Add(time.Minute),
					})
					if err != nil {
						return 0, err
					}
					_, err = io.ReadAll(a)
					c.Assert(err, qt.IsNil)
					a.Close()
					return a.Status, nil
				}
				status, err := send("first")
				c.Assert(err, qt.IsNil)
				c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
				status, err = send(second)
				s.mutex.Lock()
				ran := s.ran[second]
				s.mutex.Unlock()
				c.Assert(ran, qt.Equals, 1)
				var f *Failure
				if err != nil {
					c.Assert(errors.As(err, &f), qt.IsTrue)
					c.Assert(f.Sent, qt.IsTrue, qt.Commentf("it has run"))
					return
				}
				c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("it has run"))
			})
		}
	}
}

// TestConnectionsRememberTheirLastRequests checks that a connection is used again for other requests, and that what it remembers is
// bounded.
func TestConnectionsRememberTheirLastRequests(t *testing.T) {
	c := qt.New(t)
	n := &connection{}
	for i := range 3 * carriedRequests {
		n.record(fmt.Sprint(i))
	}
	c.Assert(n.hasCarried(fmt.Sprint(3*carriedRequests-1)), qt.IsTrue)
	c.Assert(n.hasCarried(fmt.Sprint(2*carriedRequests)), qt.IsTrue)
	c.Assert(n.hasCarried("0"), qt.IsFalse)
}
