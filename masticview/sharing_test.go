package masticview

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

// withWorkspaces returns v with a document of the given number and workspaces that are not isolated.
func withWorkspaces(c *qt.C, v View, number int64, names ...string) View {
	d := &masticproto.Document{Number: number}
	for _, name := range names {
		d.Tenants = append(d.Tenants, &masticproto.Tenant{Name: name})
	}
	next, err := v.Apply(&masticproto.ViewChange{Document: d}, time.Now())
	c.Assert(err, qt.IsNil)
	return next
}

// TestRemovedWorkspacesAreForgotten: the names of workspaces that documents removed would be kept without a bound. A new generation
// needs none of them.
func TestRemovedWorkspacesAreForgotten(t *testing.T) {
	c := qt.New(t)
	v, number := View{}, int64(1)
	for ; v.CacheGeneration() == 0 && number < 3*maxFormerSharers; number++ {
		v = withWorkspaces(c, v, number, fmt.Sprint("w", number))
		c.Assert(len(v.sharing.former) <= maxFormerSharers, qt.IsTrue)
	}
	c.Assert(v.CacheGeneration(), qt.Equals, int64(maxFormerSharers+2))
	c.Assert(v.sharing.former, qt.HasLen, 0)
}

// TestSnapshotKeepsCacheGeneration checks that a host which joins later, or restarts, uses the salts of the others.
func TestSnapshotKeepsCacheGeneration(t *testing.T) {
	c := qt.New(t)
	v := withWorkspaces(c, View{}, 1, "a", "b")
	isolated := &masticproto.Document{Number: 4, Tenants: []*masticproto.Tenant{{Name: "a", Isolated: true}, {Name: "b"}, {Name: "c"}}}
	v, err := v.Apply(&masticproto.ViewChange{Document: isolated}, time.Now())
	c.Assert(err, qt.IsNil)
	v = withWorkspaces(c, v, 7, "b")
	restored, err := FromSnapshot(v.Snapshot())
	c.Assert(err, qt.IsNil)
	c.Assert(restored.CacheGeneration(), qt.Equals, int64(4))
	c.Assert(restored.sharing.former, qt.DeepEquals, sharersOf(&masticproto.Tenant{Name: "c"}))
	c.Assert(proto.Equal(restored.Snapshot(), v.Snapshot()), qt.IsTrue)
}

// TestRenamedWorkspaceLeavesItsPrompts: a workspace that a document renamed, or whose API key it moved, and made isolated was taken for a
// new one, and others went on to use the prompts that its callers had made before.
func TestRenamedWorkspaceLeavesItsPrompts(t *testing.T) {
	key := func(b byte) []byte { return bytes.Repeat([]byte{b}, len(Digest{})) }
	before := []*masticproto.Tenant{{Name: "first", Keys: [][]byte{key(1), key(2)}}, {Name: "second", Keys: [][]byte{key(3)}}, {Name: "third", Isolated: true, Keys: [][]byte{key(4)}}}
	second, third := before[1], before[2]
	for _, x := range []struct {
		name      string
		documents [][]*masticproto.Tenant
		changes   bool
	}{
		{"renamed", [][]*masticproto.Tenant{{{Name: "uno", Isolated: true, Keys: [][]byte{key(1), key(2)}}, second, third}}, true},
		{"one key moved", [][]*masticproto.Tenant{{{Name: "first", Keys: [][]byte{key(1)}}, second, {Name: "third", Isolated: true, Keys: [][]byte{key(4), key(2)}}}}, true},
		{"removed and back under another name", [][]*masticproto.Tenant{{second, third}, {{Name: "uno", Isolated: true, Keys: [][]byte{key(2)}}, second, third}}, true},
		{"key withdrawn and back", [][]*masticproto.Tenant{{{Name: "first", Keys: [][]byte{key(1)}}, second, third}, {{Name: "first", Keys: [][]byte{key(1)}}, second, {Name: "uno", Isolated: true, Keys: [][]byte{key(2)}}}}, true},
		{"renamed and not isolated", [][]*masticproto.Tenant{{{Name: "uno", Keys: [][]byte{key(1), key(2)}}, second, third}}, false},
		{"an isolated one renamed", [][]*masticproto.Tenant{{before[0], second, {Name: "tre", Isolated: true, Keys: [][]byte{key(4)}}}}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			v, number := View{}, int64(0)
			for _, tenants := range append([][]*masticproto.Tenant{before}, x.documents...) {
				number++
				var err error
				v, err = v.Apply(&masticproto.ViewChange{Document: &masticproto.Document{Number: number, Tenants: tenants}}, time.Now())
				c.Assert(err, qt.IsNil)
			}
			c.Assert(v.CacheGeneration() == number, qt.Equals, x.changes)
		})
	}
}
