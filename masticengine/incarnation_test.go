package masticengine

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticfake"
	"masticladder/masticview"
)

// TestEndedAfterReturn checks that the end of an incarnation is reported also when the
// server's next one was already seen, and still only once.
func TestEndedAfterReturn(t *testing.T) {
	c := qt.New(t)
	client := New()
	call := Call{Server: masticview.Server{Name: "engine-1", Kind: masticview.ServerEngine}, Digest: masticview.Digest{1}}
	old, second := client.enter(call), client.enter(call)
	client.saw(old, "one")
	client.saw(second, "one")
	client.saw(client.enter(call), "two")
	digests, first := client.endIncarnation(old)
	c.Assert(first, qt.IsTrue)
	c.Assert(digests, qt.DeepEquals, []masticview.Digest{{1}})
	_, first = client.endIncarnation(second)
	c.Assert(first, qt.IsFalse)
	c.Assert(client.knows("engine-1"), qt.IsTrue)
	client.saw(second, "one")
	c.Assert(client.enter(call).incarnation, qt.Equals, "two")
}

// unnamedEngine answers without an incarnation, and ends with each model request.
type unnamedEngine struct{}

func (unnamedEngine) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		panic(http.ErrAbortHandler)
	}
}

// TestUnnamedIncarnation checks that the ends of a server that names no incarnation
// are told apart, and that it counts as alive while it answers.
func TestUnnamedIncarnation(t *testing.T) {
	c := qt.New(t)
	var reports []string
	client := New(WithEnded(func(_, incarnation string, _ []masticview.Digest) { reports = append(reports, incarnation) }))
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
		r := client.enter(call)
		server.Down()
		c.Assert(client.checkEnded(call, r), qt.IsTrue)
		c.Assert(server.Up(), qt.IsNil)
		c.Assert(client.learn(context.Background(), call.Server), qt.IsNil)
	}
	c.Assert(reports, qt.DeepEquals, []string{"unnamed-0", "unnamed-1"})
}
