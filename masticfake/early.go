package masticfake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// EarlyServer answers each request with a part of an answer and resets the connection, before it has read the request's body
// or after.
type EarlyServer struct {
	listener net.Listener
	answer   string
	readBody bool
	reset    bool
	probes   bool
	requests atomic.Int64
	// running counts the open connections and the loop that accepts them.
	running sync.WaitGroup
}

// EarlyOption sets one property of an EarlyServer.
type EarlyOption func(*EarlyServer)

// WithBodyRead makes the server read the body before it answers, so that the upload is not blocked.
func WithBodyRead() EarlyOption { return func(s *EarlyServer) { s.readBody = true } }

// WithoutReset makes the server close the connection instead.
func WithoutReset() EarlyOption { return func(s *EarlyServer) { s.reset = false } }

// WithProbes makes the server answer GET requests properly.
func WithProbes() EarlyOption { return func(s *EarlyServer) { s.probes = true } }

// ServeEarly starts an EarlyServer on loopback. Each ID in answer stands for the identifier of the request. The caller has to
// call Close.
func ServeEarly(answer string, options ...EarlyOption) (*EarlyServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &EarlyServer{listener: l, answer: answer, reset: true}
	for _, o := range options {
		o(s)
	}
	s.running.Add(1)
	go s.loop()
	return s, nil
}

// Address returns the server's IP:port.
func (s *EarlyServer) Address() string { return s.listener.Addr().String() }

// Requests returns the number of POST requests whose header arrived. Checks of the server use other methods.
func (s *EarlyServer) Requests() int { return int(s.requests.Load()) }

// Close stops listening and waits for the connections.
func (s *EarlyServer) Close() {
	_ = s.listener.Close()
	s.running.Wait()
}

func (s *EarlyServer) loop() {
	defer s.running.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Add(1)
		k := &earlyConn{server: s, conn: c.(*net.TCPConn)}
		go k.run()
	}
}

// earlyConn is one connection of an EarlyServer.
type earlyConn struct {
	server *EarlyServer
	conn   *net.TCPConn
}

func (k *earlyConn) run() {
	defer k.server.running.Done()
	defer k.conn.Close()
	q, err := http.ReadRequest(bufio.NewReader(k.conn))
	if err != nil {
		return
	}
	if q.Method == http.MethodPost {
		k.server.requests.Add(1)
	}
	if k.server.probes && q.Method == http.MethodGet {
		_, _ = io.WriteString(k.conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		return
	}
	if k.server.readBody {
		_, _ = io.Copy(io.Discard, q.Body)
	}
	_, _ = io.WriteString(k.conn, strings.ReplaceAll(k.server.answer, "ID", q.Header.Get(headerRequestID)))
	if k.server.reset {
		_ = k.conn.SetLinger(0)
	}
}
