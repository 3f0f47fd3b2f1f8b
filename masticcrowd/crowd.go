package masticcrowd

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// sendTimeout bounds what one connection sends: a listener may stop to read, and refuse.
	sendTimeout = 4 * time.Second
	// sendersAtOnce bounds the connections that are opened and send at the same time.
	sendersAtOnce = 64
	// attempts is how often a connection that was closed is opened again.
	attempts = 2
)

// Crowd is a number of open connections to one address.
type Crowd struct {
	address string
	config  *tls.Config
	form    Form
	senders chan struct{}
	sent    sync.WaitGroup
	ended   sync.WaitGroup

	mutex     sync.Mutex
	dispersed bool
	open      map[net.Conn]struct{}
}

// Gather opens the connections of f to address, over TLS if config is not nil. It returns once each has sent what the
// listener takes, or was closed.
func Gather(address string, config *tls.Config, f Form) *Crowd {
	c := &Crowd{address: address, config: config, form: f, senders: make(chan struct{}, sendersAtOnce), open: map[net.Conn]struct{}{}}
	for range f.Connections {
		c.sent.Add(1)
		c.ended.Add(1)
		m := &member{crowd: c}
		go m.run()
	}
	c.sent.Wait()
	return c
}

// Disperse closes all connections.
func (c *Crowd) Disperse() {
	c.mutex.Lock()
	c.dispersed = true
	for x := range c.open {
		_ = x.Close()
	}
	c.mutex.Unlock()
	c.ended.Wait()
}

// add reports false if the crowd was dispersed.
func (c *Crowd) add(x net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.dispersed {
		c.open[x] = struct{}{}
	}
	return !c.dispersed
}

func (c *Crowd) remove(x net.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, x)
	_ = x.Close()
}

// member is one connection, which is opened again when it was closed.
type member struct {
	crowd *Crowd
	once  sync.Once
}

func (m *member) run() {
	defer m.crowd.ended.Done()
	defer m.finish()
	for range attempts {
		if !m.attempt() {
			return
		}
	}
}

// finish records that the member has sent all that it will send.
func (m *member) finish() { m.once.Do(m.crowd.sent.Done) }

// attempt opens the connection, sends, and waits for its end. It reports false if the crowd was dispersed.
func (m *member) attempt() bool {
	m.crowd.senders <- struct{}{}
	x, ok := m.send()
	<-m.crowd.senders
	if x == nil {
		return ok
	}
	defer m.crowd.remove(x)
	if m.crowd.form.Session {
		m.sendFrames(x)
		return true
	}
	m.finish()
	_, _ = io.Copy(io.Discard, x)
	return true
}

// send opens the connection and sends. Its connection is nil if there is none.
func (m *member) send() (net.Conn, bool) {
	x, err := net.DialTimeout("tcp", m.crowd.address, sendTimeout)
	if err != nil {
		return nil, true
	}
	if !m.crowd.add(x) {
		_ = x.Close()
		return nil, false
	}
	_ = x.SetWriteDeadline(time.Now().Add(sendTimeout))
	if m.crowd.form.Session || len(m.crowd.form.Sent) == 0 {
		return x, true
	}
	var to io.Writer = x
	if m.crowd.config != nil {
		_ = x.SetReadDeadline(time.Now().Add(sendTimeout))
		secured := tls.Client(x, m.crowd.config)
		if err := secured.Handshake(); err != nil {
			return x, true
		}
		_ = x.SetReadDeadline(time.Time{})
		to = secured
	}
	_, _ = to.Write(m.crowd.form.Sent)
	return x, true
}

// sendFrames sends the form on each stream of a session, and waits for the end of the session.
func (m *member) sendFrames(x net.Conn) {
	_ = x.SetWriteDeadline(time.Time{})
	config := yamux.DefaultConfig()
	config.LogOutput, config.ConnectionWriteTimeout = io.Discard, sendTimeout
	session, err := yamux.Client(x, config)
	if err != nil {
		return
	}
	defer session.Close()
	for range frameStreams {
		s, err := session.OpenStream()
		if err != nil {
			return
		}
		_ = s.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, _ = s.Write(m.crowd.form.Sent)
	}
	m.finish()
	<-session.CloseChan()
}
