package masticwire

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to a target and can close them all.
type relay struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	conns []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target}
	go r.run()
	t.Cleanup(func() { _ = l.Close(); r.closeConns() })
	return r
}

func (r *relay) run() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mutex.Lock()
		r.conns = append(r.conns, in, out)
		r.mutex.Unlock()
		go (&relayCopy{in, out}).run()
		go (&relayCopy{out, in}).run()
	}
}

// closeConns closes all connections.
func (r *relay) closeConns() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

type relayCopy struct{ from, to net.Conn }

func (c *relayCopy) run() {
	_, _ = io.Copy(c.to, c.from)
	_ = c.to.Close()
}
