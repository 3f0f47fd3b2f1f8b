package masticdaemon

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcaller"
	"masticladder/masticintake"
)

// connectionProbe hands over the callers' connections of the requests that it gets.
type connectionProbe struct{ found chan *masticcaller.Connection }

func (p *connectionProbe) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	p.found <- masticcaller.FromContext(r.Context())
	<-r.Context().Done()
}

// testTLS returns a configuration with a certificate for tests.
func testTLS() *tls.Config {
	s := httptest.NewTLSServer(http.NotFoundHandler())
	defer s.Close()
	return &tls.Config{Certificates: s.TLS.Certificates}
}

// TestCloseIsNotSeenBehindListeners: the wrappers of the listeners hid the socket, so that no check saw that a caller had left.
func TestCloseIsNotSeenBehindListeners(t *testing.T) {
	for name, encrypted := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			probe := &connectionProbe{found: make(chan *masticcaller.Connection, 1)}
			h, err := listen("127.0.0.1:0", &http.Server{Handler: probe, ConnContext: masticcaller.WithConnection}, nil)
			c.Assert(err, qt.IsNil)
			trackCallers(h, nil)
			if encrypted {
				h.useTLS(testTLS())
			}
			h.countIn(masticintake.New(masticintake.Limits{Bytes: 1 << 20, HeadBytes: 1 << 20}).Share(masticintake.ShareLimits{Connections: 2}))
			s := &limitedServer{http: h}
			go s.run()
			c.Cleanup(func() { _ = h.server.Close() })
			conn, err := net.Dial("tcp", h.address())
			c.Assert(err, qt.IsNil)
			if encrypted {
				conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
			}
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			c.Assert(err, qt.IsNil)
			x := <-probe.found
			c.Assert(x != nil, qt.IsTrue)
			c.Assert(x.Gone(), qt.IsFalse)
			c.Assert(conn.Close(), qt.IsNil)
			for n := 0; !x.Gone(); n++ {
				c.Assert(n < 1000, qt.IsTrue)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// TestClosedConnectionsKeepTheirRoom guards against a listener that accepts nothing more, or too much, after connections were closed.
func TestClosedConnectionsKeepTheirRoom(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	guard := masticintake.New(masticintake.Limits{Bytes: 1 << 20, HeadBytes: 1 << 20})
	l := guard.Share(masticintake.ShareLimits{Connections: 1}).Listener(inner, nil)
	for range 3 {
		caller, err := net.Dial("tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		host, err := l.Accept()
		c.Assert(err, qt.IsNil)
		c.Assert(guard.Usage().Connections, qt.Equals, int64(1))
		_ = host.Close()
		_ = host.Close()
		_ = caller.Close()
		c.Assert(guard.Usage().Connections, qt.Equals, int64(0))
	}
	c.Assert(l.Close(), qt.IsNil)
	_, err = l.Accept()
	c.Assert(err, qt.ErrorIs, net.ErrClosed)
	c.Assert(guard.Usage().Connections, qt.Equals, int64(0))
}
