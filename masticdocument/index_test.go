package masticdocument

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

func TestRouteWithLongestPrefixIsSelected(t *testing.T) {
	c := qt.New(t)
	d := Document{Number: 1, Pools: []Pool{{Name: "p"}}}
	for _, p := range []string{"/", "/a/", "/a/b/"} {
		d.Routes = append(d.Routes, Route{
			Name: p, Hostname: "Host.example", Prefix: p, Repeat: RetryNever, Timeout: time.Second, Targets: []Target{{Pool: "p", Weight: 1}},
		})
	}
	c.Assert(d.Check(), qt.IsNil)
	x := NewIndex(d)
	for path, want := range map[string]string{"/": "/", "/a": "/", "/a/": "/a/", "/a/b": "/a/", "/a/b/c/d": "/a/b/", "/ab/c": "/"} {
		r, ok := x.Route("host.EXAMPLE", path)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Name, qt.Equals, want, qt.Commentf("%s", path))
	}
	_, ok := x.Route("other.example", "/a/")
	c.Assert(ok, qt.IsFalse)
}

func TestKeyIdentifiesOneWorkspace(t *testing.T) {
	c := qt.New(t)
	a, b := masticview.DigestOf([]byte("a")), masticview.DigestOf([]byte("b"))
	d := Document{Number: 1, Workspaces: []Workspace{{Name: "x", Keys: []masticview.Digest{a}}, {Name: "y", Keys: []masticview.Digest{b}}}}
	c.Assert(d.Check(), qt.IsNil)
	owner, ok := NewIndex(d).WorkspaceByKey(b)
	c.Assert(ok, qt.IsTrue)
	c.Assert(owner.Name, qt.Equals, "y")
	_, ok = NewIndex(d).WorkspaceByKey(masticview.DigestOf([]byte("c")))
	c.Assert(ok, qt.IsFalse)
	d.Workspaces[1].Keys = append(d.Workspaces[1].Keys, a)
	c.Assert(d.Check(), qt.ErrorMatches, ".*share a key.*")
}
