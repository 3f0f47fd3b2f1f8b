package masticengine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// copyingService answers each request with its path. Before it answers the second and later requests
// of a connection, it sends a second copy of its answer to the one before.
type copyingService struct {
	listener net.Listener
	echoesID bool
}

func (s *copyingService) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := &copyingConn{service: s, conn: conn}
		go c.run()
	}
}

type copyingConn struct {
	service *copyingService
	conn    net.Conn
}

func (c *copyingConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	last := ""
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := ""
		if c.service.echoesID {
			id = HeaderRequestID + ": " + q.Header.Get(HeaderRequestID) + "\r\n"
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(q.URL.Path), q.URL.Path)
		if _, err := io.WriteString(c.conn, last+answer); err != nil {
			return
		}
		last = answer
	}
}

// TestCallerGetsSecondCopyOfAnotherAnswer: a plain service sent an answer twice, the second time when its
// connection was in use again, and the next caller got it.
func TestCallerGetsSecondCopyOfAnotherAnswer(t *testing.T) {
	for _, echoesID := range []bool{false, true} {
		t.Run(fmt.Sprint("service echoes the identifier: ", echoesID), func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			go (&copyingService{listener: l, echoesID: echoesID}).run()
			client := New()
			defer client.Close()
			server := masticview.Server{Name: "s", Kind: masticview.ServerService, URL: "http://" + l.Addr().String()}
			for i := range 4 {
				path := fmt.Sprintf("/%d", i)
				a, err := client.Do(t.Context(), Call{Server: server, RequestID: fmt.Sprint("q", i), Method: http.MethodGet, Path: path})
				if err == nil {
					c.Check(string(a.Body), qt.Equals, path)
				}
				c.Check(err == nil || echoesID, qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}
