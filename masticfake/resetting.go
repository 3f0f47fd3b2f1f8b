package masticfake

import (
	"net"
	"strings"
	"sync"
)

// ResettingServer does a number of reads on each connection, answers the first ones, and resets the
// connection.
type ResettingServer struct {
	listener net.Listener
	reads    int
	answers  int

	mu       sync.Mutex
	received strings.Builder
	// running counts the open connections and the loop that accepts them.
	running sync.WaitGroup
}

// ServeResetting starts a ResettingServer on loopback. The caller has to call Close.
func ServeResetting(reads, answers int) (*ResettingServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &ResettingServer{listener: l, reads: reads, answers: answers}
	s.running.Add(1)
	go s.loop()
	return s, nil
}

// Address returns the server's IP:port.
func (s *ResettingServer) Address() string { return s.listener.Addr().String() }

// Down stops listening; open connections go on.
func (s *ResettingServer) Down() { _ = s.listener.Close() }

// Close stops listening and waits until the clients have closed all connections.
func (s *ResettingServer) Close() {
	s.Down()
	s.running.Wait()
}

// Arrivals returns how often the request with the given identifier arrived. Close must have returned.
func (s *ResettingServer) Arrivals(id string) int {
	return strings.Count(s.received.String(), headerRequestID+": "+id+"\r\n")
}

func (s *ResettingServer) loop() {
	defer s.running.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Add(1)
		k := resettingConn{server: s, conn: c}
		go k.run()
	}
}

// resettingConn is one connection of a ResettingServer.
type resettingConn struct {
	server *ResettingServer
	conn   net.Conn
}

func (k resettingConn) run() {
	defer k.server.running.Done()
	defer k.conn.Close()
	b := make([]byte, 4<<10)
	for i := range k.server.reads {
		n, err := k.conn.Read(b)
		k.server.mu.Lock()
		k.server.received.Write(b[:n])
		k.server.mu.Unlock()
		if err != nil {
			return
		}
		if i < k.server.answers {
			_, _ = k.conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	}
	_ = k.conn.(*net.TCPConn).SetLinger(0)
}
