package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// relay forwards the connections of other hosts to one host and can cut them without an error:
// bytes of a cut connection are dropped while it stays open.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cuts  map[string]bool
	links []*link
}

func newRelay(t *testing.T, address, target string) *relay {
	l, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	r := &relay{listener: l, target: target, cuts: map[string]bool{}}
	t.Cleanup(r.close)
	go r.run()
	return r
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.heal()
}

func (r *relay) run() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.open(in)
	}
}

func (r *relay) open(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	source, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	l := &link{source: source, in: in, out: out}
	r.mu.Lock()
	l.dropping.Store(r.cuts[source])
	r.links = append(r.links, l)
	r.mu.Unlock()
	forward := &copier{link: l, from: in, to: out}
	back := &copier{link: l, from: out, to: in}
	go forward.run()
	go back.run()
}

// cut starts to drop all bytes between source and the relay's target, in both directions.
func (r *relay) cut(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[source] = true
	for _, l := range r.links {
		if l.source == source {
			l.dropping.Store(true)
		}
	}
}

// heal ends all cuts and closes the connections that were cut, because they lost bytes.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cuts)
	for _, l := range r.links {
		if l.dropping.Load() {
			l.close()
		}
	}
}

// link is one relayed connection.
type link struct {
	source   string
	in, out  net.Conn
	dropping atomic.Bool
}

func (l *link) close() {
	_ = l.in.Close()
	_ = l.out.Close()
}

// copier forwards one direction of a link.
type copier struct {
	link     *link
	from, to net.Conn
}

func (c *copier) run() {
	defer c.link.close()
	_, _ = io.Copy(c, c.from)
}

// Write forwards p, or drops it while the link is cut.
func (c *copier) Write(p []byte) (int, error) {
	if c.link.dropping.Load() {
		return len(p), nil
	}
	return c.to.Write(p)
}
