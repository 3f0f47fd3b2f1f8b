package masticrelay

import (
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticdocument"
	"masticladder/masticview"
)

// sharing is, for each workspace of a document, whether it is isolated. Its key is its name.
type sharing map[string]bool

// apply returns the view after a document with the given number and the workspaces of s.
func (s sharing) apply(c *qt.C, v masticview.View, number int64) masticview.View {
	d := masticdocument.Document{
		Number: number,
		Routes: []masticdocument.Route{{
			Name: "r", Hostname: "host.example", Prefix: "/a/", Repeat: masticdocument.RetryIdempotent, Attempts: 2, Timeout: 5 * time.Second,
			Targets: []masticdocument.Target{{Pool: "p", Weight: 1}},
		}},
		Pools: []masticdocument.Pool{{Name: "p", Engine: true, Slots: 4, CacheTokens: 1000, Models: []string{"m"}}},
	}
	for _, name := range slices.Sorted(maps.Keys(s)) {
		d.Workspaces = append(d.Workspaces, masticdocument.Workspace{Name: name, Isolated: s[name], Keys: []masticview.Digest{masticview.DigestOf([]byte(name))}})
	}
	c.Assert(d.Check(), qt.IsNil)
	next, err := v.Apply(viewChange(d), time.Now())
	c.Assert(err, qt.IsNil)
	return next
}

// cacheHost is a host with a backend server that reports the salt of each request.
type cacheHost struct {
	*fixture
	server *rawServer
	view   masticview.View
	// makers is the workspaces whose requests used a salt.
	makers map[string]map[string]bool
}

func newCacheHost(c *qt.C) *cacheHost {
	h := &cacheHost{server: newRawServer(c), makers: map[string]map[string]bool{}}
	h.fixture = newFixture(c, safe, h.server)
	return h
}

// send sends a request of a workspace and returns its salt.
func (h *cacheHost) send(c *qt.C, workspace string) string {
	h.server.mutex.Lock()
	h.server.answers = append(h.server.answers, okAnswer)
	h.server.mutex.Unlock()
	status, _, _ := h.fixture.send(c, "Key", workspace)
	c.Assert(status, qt.Equals, http.StatusOK)
	received := h.server.received()
	last := received[len(received)-1]
	c.Assert(last.Header.Get("Workspace"), qt.Equals, workspace)
	salt := last.Header.Get("Salt")
	if h.makers[salt] == nil {
		h.makers[salt] = map[string]bool{}
	}
	h.makers[salt][workspace] = true
	return salt
}

// TestWorkspaceThatBecomesIsolatedLeavesItsPrompts: other workspaces went on to use cached prompts that the requests of a workspace had
// made before it became isolated.
func TestWorkspaceThatBecomesIsolatedLeavesItsPrompts(t *testing.T) {
	for name, history := range map[string][]sharing{
		"becomes isolated":              {{"a": false, "b": false}, {"a": true, "b": false}},
		"and the other one too":         {{"a": false, "b": false, "c": false}, {"a": true, "b": false, "c": false}, {"a": true, "b": true, "c": false}},
		"isolated, shared and isolated": {{"a": true, "b": false}, {"a": false, "b": false}, {"a": true, "b": false}},
		"removed and back, isolated":    {{"a": false, "b": false}, {"b": false}, {"b": false, "c": false}, {"a": true, "b": false}},
		"removed twice":                 {{"a": false, "b": false}, {"b": false}, {"a": false, "b": false}, {"b": false}, {"a": true, "b": false}},
		"no longer isolated":            {{"a": true, "b": false}, {"a": false, "b": false}},
		"all change places":             {{"a": true, "b": false}, {"a": false, "b": true}, {"a": true, "b": false}, {"a": false, "b": false}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newCacheHost(c)
			for i, workspaces := range history {
				h.view = workspaces.apply(c, h.view, int64(10*i+2))
				// A host that joins later has the same salts.
				restored, err := masticview.FromSnapshot(h.view.Snapshot())
				c.Assert(err, qt.IsNil)
				for _, v := range []masticview.View{h.view, restored} {
					h.relay.SetView(v)
					shared := map[string]bool{}
					for workspace, isolated := range workspaces {
						salt := h.send(c, workspace)
						for maker := range h.makers[salt] {
							c.Check(maker != workspace && (isolated || workspaces[maker]), qt.IsFalse,
								qt.Commentf("document %d: %s uses prompts of %s under %s", i, workspace, maker, salt))
						}
						shared[salt] = shared[salt] || !isolated
					}
					c.Check(len(slices.DeleteFunc(slices.Collect(maps.Values(shared)), func(s bool) bool { return !s })) <= 1, qt.IsTrue,
						qt.Commentf("document %d: workspaces that are not isolated share nothing", i))
				}
			}
		})
	}
}

// TestChangeWithoutIsolationKeepsPrompts checks that documents after which no workspace is newly isolated keep the cached prompts of all.
func TestChangeWithoutIsolationKeepsPrompts(t *testing.T) {
	c := qt.New(t)
	h := newCacheHost(c)
	var salts []string
	for i, workspaces := range []sharing{
		{"a": true, "b": false},
		{"a": true, "b": false, "c": false},
		{"a": true, "b": false, "new": true},
		{"b": false, "new": true},
		{"a": true, "b": false},
		{"a": false, "b": false},
	} {
		h.view = workspaces.apply(c, h.view, int64(i+2))
		h.relay.SetView(h.view)
		salts = append(salts, h.send(c, "b"))
	}
	c.Assert(slices.Compact(salts), qt.HasLen, 1)
}

// TestWaitingRequestUsesPromptsOfIsolatedWorkspace: a request that waited for a server while a workspace became isolated used the salt of
// the document under which it had come.
func TestWaitingRequestUsesPromptsOfIsolatedWorkspace(t *testing.T) {
	for _, waiting := range []string{"a", "b"} {
		t.Run(waiting, func(t *testing.T) {
			c := qt.New(t)
			h := newCacheHost(c)
			h.view = sharing{"a": false, "b": false}.apply(c, h.view, 2)
			h.relay.SetView(h.view)
			before := h.send(c, "a")
			h.dispatcher.beforeAssign = func(int) {
				h.view = sharing{"a": true, "b": false}.apply(c, h.view, 3)
				h.relay.SetView(h.view)
				h.dispatcher.beforeAssign = nil
			}
			c.Assert(h.send(c, waiting), qt.Not(qt.Equals), before)
		})
	}
}
