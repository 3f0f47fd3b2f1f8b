package masticrelay

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticdocument"
	"masticladder/masticerror"
)

// unusedOrigins are origins of which nothing is asked.
type unusedOrigins struct{ masticcall.Origins }

// TestConnectionOfUncheckedRequestIsConfirmed: the first event of a stream was checked on new connections only, so that a stream on one
// that an unchecked request had opened could be joined with another version. A connection is checked until it is confirmed, and not
// again; the connections that checks leave need none.
func TestConnectionOfUncheckedRequestIsConfirmed(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, okAnswer, okAnswer, okAnswer, okAnswer)
	b := newFixture(c, safe, server)
	b.relay.origins = unusedOrigins{}
	b.relay.table.Store(&routingTable{software: map[string]serviceSoftware{"p": {servers: map[string]int{"1": 1}}}})
	checked := requestState{relay: b.relay, route: masticdocument.Route{Resumable: true}, pool: masticdocument.Pool{Name: "p", Engine: true}}
	unchecked := requestState{relay: b.relay, pool: checked.pool}

	exchange := func(r requestState, id string) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		answer, err := b.relay.client.Do(ctx, masticbackend.Request{
			Address: server.listener.Addr().String(), Method: http.MethodGet, URI: "/", Host: "h", ID: id, Header: http.Header{"Id": {id}},
			Deadline: time.Now().Add(10 * time.Second),
		})
		c.Assert(err, qt.IsNil)
		defer answer.Close()
		c.Assert(r.confirmServer(ctx, b.dispatcher.servers[0], answer) == nil, qt.IsTrue)
		_, err = io.ReadAll(answer)
		c.Assert(err, qt.IsNil)
	}
	exchange(unchecked, "q1")
	c.Assert(server.checks.Load(), qt.Equals, int64(0))
	exchange(checked, "q2")
	c.Assert(server.checks.Load(), qt.Equals, int64(1))
	exchange(checked, "q3")
	exchange(checked, "q4")
	c.Assert(server.checks.Load(), qt.Equals, int64(1))
}

// TestConnectionOfCheckIsConfirmed: a check opens a connection of its own, which is kept. If the first stream on it were checked once more,
// each check would call for another one.
func TestConnectionOfCheckIsConfirmed(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c)
	b := newFixture(c, safe, server)
	b.relay.table.Store(&routingTable{})
	check := livenessChecker{relay: b.relay}
	check.Check(t.Context(), b.dispatcher.servers[0], "")
	answer, err := b.relay.client.Do(t.Context(), masticbackend.Request{
		Address: server.listener.Addr().String(), Method: http.MethodGet, URI: livenessPath, Host: "h", Deadline: time.Now().Add(10 * time.Second),
	})
	c.Assert(err, qt.IsNil)
	defer answer.Close()
	c.Assert(answer.Confirmed(), qt.IsTrue)
}

// TestStreamOpensTwoConnectionsToItsServer: the check of the first stream on a connection opened one more, which made hosts
// open nearly twice as many.
func TestStreamOpensTwoConnectionsToItsServer(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, okAnswer, okAnswer)
	b := newFixture(c, safe, server)
	b.relay.origins = unusedOrigins{}
	b.relay.table.Store(&routingTable{software: map[string]serviceSoftware{"p": {servers: map[string]int{"1": 1}}}})
	listed := b.dispatcher.servers[0]
	r := requestState{
		relay: b.relay, route: masticdocument.Route{Resumable: true}, pool: masticdocument.Pool{Name: "p", Engine: true},
		deadline: time.Now().Add(10 * time.Second),
	}
	for _, id := range []string{"q1", "q2"} {
		r.call = &Call{ID: id, Header: http.Header{}, Method: http.MethodGet, URI: "/", Host: "h"}
		answer, f := r.send(t.Context(), Attempt{Server: listed})
		c.Assert(f == nil, qt.IsTrue)
		c.Assert(r.confirmServer(t.Context(), listed, answer) == nil, qt.IsTrue)
		_, err := io.ReadAll(answer)
		c.Assert(err, qt.IsNil)
		answer.Close()
	}
	c.Assert(server.checks.Load(), qt.Equals, int64(1))
	c.Assert(server.connections.Load(), qt.Equals, int64(1))
}

// TestStreamIsSentToAnotherIncarnation: a stream was sent to what had returned under the name of its server, and its answer dropped.
func TestStreamIsSentToAnotherIncarnation(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c)
	b := newFixture(c, safe, server)
	b.relay.origins = unusedOrigins{}
	b.relay.table.Store(&routingTable{software: map[string]serviceSoftware{"p": {servers: map[string]int{"1": 1}}}})
	listed := b.dispatcher.servers[0]
	listed.Incarnation = "later"
	r := requestState{
		relay: b.relay, route: masticdocument.Route{Resumable: true}, pool: masticdocument.Pool{Name: "p", Engine: true},
		deadline: time.Now().Add(10 * time.Second), call: &Call{ID: "q1", Header: http.Header{}, Method: http.MethodGet, URI: "/", Host: "h"},
	}
	_, f := r.send(t.Context(), Attempt{Server: listed})
	c.Assert(f != nil && !f.Sent && f.ServerEnded, qt.IsTrue)
	c.Assert(server.requests, qt.HasLen, 0)
	left, cancel := context.WithCancel(t.Context())
	cancel()
	_, f = r.send(left, Attempt{Server: listed})
	c.Assert(f != nil && !f.Sent && !f.ServerEnded, qt.IsTrue)
	c.Assert(f.Err.Kind(), qt.Equals, masticerror.KindCancelled)
}
