package masticrelay

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticdocument"
	"masticladder/masticview"
)

// callerOf returns a request of a caller, as the one that begins a stream or that takes up the stream of "id".
func callerOf(workspace, key, path string) *requestState {
	r := &requestState{
		call: &Call{ID: "own", Resumes: "id", Host: "desk.example", Path: path}, workspace: masticdocument.Workspace{Name: workspace},
		pool: masticdocument.Pool{Name: "p"},
	}
	if key != "" {
		r.call.Key, r.call.HasKey = masticview.DigestOf([]byte(key)), true
	}
	r.origin.keys = r.streamKeys("id")
	return r
}

// TestOtherCallersNameNoStream checks that a caller with another workspace and another API key, or on another public path, can neither find
// nor replace the record of a stream by its request ID.
func TestOtherCallersNameNoStream(t *testing.T) {
	c := qt.New(t)
	// A workspace may have any name, an API key any digest.
	odd := masticview.DigestOf([]byte("k1"))
	callers := []*requestState{
		callerOf("mill", "k1", "/a/x"), callerOf("yard", "k2", "/a/x"), callerOf("k1", "k3", "/a/x"), callerOf(string(odd[:]), "k4", "/a/x"),
		callerOf("", "", "/public/x"),
	}
	for i, began := range callers {
		for j, other := range callers {
			shared := slices.ContainsFunc(began.origin.keys, func(k masticcall.StreamKey) bool { return slices.Contains(other.formerStreamKeys(), k) })
			c.Check(shared, qt.Equals, i == j, qt.Commentf("%d and %d", i, j))
		}
		c.Check(slices.Contains(began.origin.keys, began.streamKeys("another")[0]), qt.IsFalse)
	}
}

// TestStreamOfMovedKeyIsFoundByItsNewWorkspace: a stream that began after its caller's key had moved was recorded under the former workspace,
// so that another key of the new one did not find it.
func TestStreamOfMovedKeyIsFoundByItsNewWorkspace(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c, safe, newRawServer(c))
	b.relay.origins = unusedOrigins{}
	r := callerOf("mill", "k1", "/a/x")
	r.relay, r.route, r.call.Resumes, r.call.ID = b.relay, masticdocument.Route{Resumable: true}, "", "id"
	r.workspace.Name = "yard"
	r.addStreamKeys()
	c.Assert(len(r.origin.keys) <= masticcall.MaxStreamKeys, qt.IsTrue)
	for _, other := range []*requestState{callerOf("mill", "k2", "/a/x"), callerOf("yard", "k3", "/a/x"), callerOf("third", "k1", "/a/x")} {
		found := slices.ContainsFunc(r.origin.keys, func(k masticcall.StreamKey) bool { return slices.Contains(other.formerStreamKeys(), k) })
		c.Check(found, qt.IsTrue, qt.Commentf("%s", other.workspace.Name))
	}
}
