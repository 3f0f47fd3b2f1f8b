package masticcontrol_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
)

// direction is a pair of source and destination IP addresses.
type direction struct{ from, to netip.Addr }

// network holds the blocked directions between hosts. Bytes in a blocked direction are delayed
// until it is unblocked.
type network struct {
	mutex   sync.Mutex
	changed *sync.Cond
	blocked map[direction]bool
	closed  bool
}

func newNetwork(t testing.TB) *network {
	n := &network{blocked: map[direction]bool{}}
	n.changed = sync.NewCond(&n.mutex)
	t.Cleanup(n.close)
	return n
}

func (n *network) close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.closed = true
	n.changed.Broadcast()
}

// block delays the bytes from one host to another.
func (n *network) block(from, to netip.Addr) { n.set(from, to, true) }

// unblock lets the bytes from one host to another pass again.
func (n *network) unblock(from, to netip.Addr) { n.set(from, to, false) }

func (n *network) set(from, to netip.Addr, blocked bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.blocked[direction{from, to}] = blocked
	n.changed.Broadcast()
}

// wait blocks until bytes may pass in direction d. It returns false if the network is closed.
func (n *network) wait(d direction) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for n.blocked[d] && !n.closed {
		n.changed.Wait()
	}
	return !n.closed
}

// relay forwards connections to a host, subject to the blocked directions of the network.
type relay struct {
	network  *network
	host     netip.Addr
	listener net.Listener

	mutex  sync.Mutex
	target string
	conns  []net.Conn
}

func (n *network) relay(t testing.TB, host netip.Addr) *relay {
	l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{network: n, host: host, listener: l}
	go r.run()
	t.Cleanup(func() { _ = l.Close(); r.cut() })
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) setTarget(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.target = address
}

// cut closes every connection.
func (r *relay) cut() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

func (r *relay) run() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			r.mutex.Unlock()
			continue
		}
		r.conns = append(r.conns, in, out)
		r.mutex.Unlock()
		source := netip.MustParseAddrPort(in.RemoteAddr().String()).Addr()
		go (&pump{network: r.network, direction: direction{source, r.host}, from: in, to: out}).run()
		go (&pump{network: r.network, direction: direction{r.host, source}, from: out, to: in}).run()
	}
}

// pump copies the bytes of one direction of a connection.
type pump struct {
	network   *network
	direction direction
	from, to  net.Conn
}

func (p *pump) run() {
	defer func() { _ = p.to.Close() }()
	defer func() { _ = p.from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := p.from.Read(buffer)
		if !p.network.wait(p.direction) {
			return
		}
		if _, failed := p.to.Write(buffer[:n]); failed != nil || err == io.EOF || err != nil {
			return
		}
	}
}
