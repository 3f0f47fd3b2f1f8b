package masticengine

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticfake"
	"masticladder/masticview"
)

// TestServerEndIsReportedAfterNextIncarnation checks that the end of an incarnation is reported,
// and only once, even if the server's next incarnation is already known.
func TestServerEndIsReportedAfterNextIncarnation(t *testing.T) {
	c := qt.New(t)
	client := New()
	call := Call{Server: masticview.Server{Name: "engine-1", Kind: masticview.ServerEngine}, Content: masticcall.Content{Digest: masticview.Digest{1}}}
	old, second := client.addRunning(call), client.addRunning(call)
	client.recordIncarnation(old, "one")
	client.recordIncarnation(second, "one")
	client.recordIncarnation(client.addRunning(call), "two")
	c.Assert(client.endIncarnation("engine-1", old.incarnation), qt.IsTrue)
	c.Assert(client.endIncarnation("engine-1", second.incarnation), qt.IsFalse)
	c.Assert(client.knowsIncarnation("engine-1"), qt.IsTrue)
	client.recordIncarnation(second, "one")
	c.Assert(client.addRunning(call).incarnation, qt.Equals, "two")
}

// unnamedEngine states no incarnation and aborts the connection of each model request.
type unnamedEngine struct{}

func (unnamedEngine) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		panic(http.ErrAbortHandler)
	}
}

// TestEndsOfUnnamedIncarnationsAreDistinct checks that a server that states no incarnation gets a
// distinct generated one after each end, and counts as alive while it answers.
func TestEndsOfUnnamedIncarnationsAreDistinct(t *testing.T) {
	c := qt.New(t)
	var reports []string
	client := New(WithServerEnded(func(r masticcall.ServerReport) { reports = append(reports, r.Incarnation) }))
	defer client.Close()
	server, err := masticfake.Serve(unnamedEngine{})
	c.Assert(err, qt.IsNil)
	defer server.Down()
	call := Call{
		Server:    masticview.Server{Name: "old", Kind: masticview.ServerEngine, URL: server.URL()},
		RequestID: "r", Method: http.MethodPost, Path: "/v1/completions",
	}
	_, err = client.Do(context.Background(), call)
	c.Assert(err, qt.ErrorMatches, "backendFailed.*")
	c.Assert(reports, qt.HasLen, 0)
	for range 2 {
		x := &exchange{client: client, call: call, running: client.addRunning(call)}
		server.Down()
		c.Assert(x.checkEnded(x.running.attempt.Failed), qt.IsTrue)
		c.Assert(server.Up(), qt.IsNil)
		c.Assert(client.ensureIncarnation(context.Background(), call.Server), qt.IsNil)
	}
	c.Assert(reports, qt.DeepEquals, []string{"unnamed-0", "unnamed-1"})
}
