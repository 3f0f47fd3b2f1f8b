package masticdaemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticintake"
)

// drainRun drains the connections of a server.
type drainRun struct {
	server *httpServer
	ended  chan error
}

func (d *drainRun) run() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d.ended <- d.server.drainCallers(ctx)
}

// drainedServer is a server whose connections can be drained, with what its handler waits for.
type drainedServer struct {
	*drainRun
	handler *countingHandler
	actor   *actorRunner
}

func startDrainedServer(c *qt.C, wrap func(net.Listener) net.Listener) *drainedServer {
	h := &countingHandler{release: make(chan struct{})}
	s, err := listen("127.0.0.1:0", &http.Server{Handler: h}, nil)
	c.Assert(err, qt.IsNil)
	s.listener = wrap(s.listener)
	trackCallers(s, nil)
	return runDrainedServer(s, h)
}

func runDrainedServer(s *httpServer, h *countingHandler) *drainedServer {
	d := &drainedServer{drainRun: &drainRun{server: s, ended: make(chan error, 1)}, handler: h, actor: &actorRunner{actor: s.runUntilStopped, ended: make(chan error, 1)}}
	go d.actor.run()
	return d
}

// finish checks that the drain and the server end.
func (d *drainedServer) finish(c *qt.C) {
	c.Assert(<-d.ended, qt.IsNil)
	d.server.stop(nil)
	c.Assert(<-d.actor.ended, qt.IsNil)
}

// testClient sends requests over one connection.
type testClient struct {
	c      *qt.C
	conn   net.Conn
	reader *bufio.Reader
}

func newTestClient(c *qt.C, address string) *testClient {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return &testClient{c: c, conn: conn, reader: bufio.NewReader(conn)}
}

func (t *testClient) send() {
	_, err := io.WriteString(t.conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	t.c.Assert(err, qt.IsNil)
}

func (t *testClient) assertAnswered(closes bool) {
	response, err := http.ReadResponse(t.reader, nil)
	t.c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	t.c.Assert(err, qt.IsNil)
	t.c.Assert(string(body), qt.Equals, "whole")
	if closes {
		_, err = t.reader.ReadByte()
		t.c.Assert(err, qt.Equals, io.EOF)
	}
}

// TestPlannedStopResetsConnectionsThatWaitToBeAccepted: a planned stop closed the listener, and requests on connections that a slow
// process had not accepted yet got no answer.
func TestPlannedStopResetsConnectionsThatWaitToBeAccepted(t *testing.T) {
	c := qt.New(t)
	d := startDrainedServer(c, func(l net.Listener) net.Listener {
		guard := masticintake.New(masticintake.Limits{Bytes: 1 << 20, HeadBytes: 1 << 20})
		return guard.Share(masticintake.ShareLimits{Connections: 1, MinWait: time.Hour}).Listener(l, nil)
	})
	first, second := newTestClient(c, d.server.address()), newTestClient(c, d.server.address())
	first.send()
	first.assertAnswered(false)
	second.send()
	// The first request of the second connection is the one that waits for release.
	close(d.handler.release)
	go d.run()
	second.assertAnswered(true)
	d.finish(c)
	c.Assert(d.handler.passedOn.Load(), qt.Equals, int64(2))
	_, err := net.Dial("tcp", d.server.address())
	c.Assert(err, qt.IsNotNil)
}

// TestPlannedStopDropsConnectionThatWaitsForRoom is TestPlannedStopResetsConnectionsThatWaitToBeAccepted with the limit of
// connections that callers' listener has.
func TestPlannedStopDropsConnectionThatWaitsForRoom(t *testing.T) {
	c := qt.New(t)
	h := &countingHandler{release: make(chan struct{})}
	s, err := listen("127.0.0.1:0", &http.Server{Handler: h}, nil)
	c.Assert(err, qt.IsNil)
	trackCallers(s, nil)
	s.countIn(masticintake.New(masticintake.Limits{Bytes: 1 << 20, HeadBytes: 1 << 20}).Share(masticintake.ShareLimits{Connections: 1, MinWait: time.Hour}))
	d := runDrainedServer(s, h)
	first, second := newTestClient(c, d.server.address()), newTestClient(c, d.server.address())
	first.send()
	first.assertAnswered(false)
	second.send()
	close(d.handler.release)
	go d.run()
	second.assertAnswered(true)
	d.finish(c)
	c.Assert(d.handler.passedOn.Load(), qt.Equals, int64(2))
}

// TestPlannedStopDropsRequestsThatWaitToBeRead: a planned stop closed connections as idle whose next request a slow process had not
// read yet.
func TestPlannedStopDropsRequestsThatWaitToBeRead(t *testing.T) {
	c := qt.New(t)
	read, goOn := make(chan struct{}), make(chan struct{})
	d := startDrainedServer(c, func(l net.Listener) net.Listener {
		return &pausedListener{Listener: l, afterRead: func(reads int64) {
			if reads == 2 {
				close(read)
				<-goOn
			}
		}}
	})
	close(d.handler.release)
	k := newTestClient(c, d.server.address())
	k.send()
	k.assertAnswered(false)
	k.send()
	<-read
	go d.run()
	time.Sleep(5 * closeIdleInterval)
	close(goOn)
	k.assertAnswered(true)
	d.finish(c)
}

// TestIdleConnectionsDelayAPlannedStop: connections without a request are closed at once, new ones after the time that a request
// may take to arrive.
func TestIdleConnectionsDelayAPlannedStop(t *testing.T) {
	c := qt.New(t)
	d := startDrainedServer(c, func(l net.Listener) net.Listener { return l })
	idle, fresh := newTestClient(c, d.server.address()), newTestClient(c, d.server.address())
	idle.send()
	idle.assertAnswered(false)
	go d.run()
	for _, k := range []*testClient{idle, fresh} {
		_, err := k.reader.ReadByte()
		c.Assert(err, qt.Equals, io.EOF)
	}
	d.finish(c)
}
