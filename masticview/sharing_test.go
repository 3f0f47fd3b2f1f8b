package masticview

import (
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
	for ; v.CacheGeneration() == 0 && number < 3*maxFormerWorkspaces; number++ {
		v = withWorkspaces(c, v, number, fmt.Sprint("w", number))
		c.Assert(len(v.sharing.former) <= maxFormerWorkspaces, qt.IsTrue)
	}
	c.Assert(v.CacheGeneration(), qt.Equals, int64(maxFormerWorkspaces+2))
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
	c.Assert(restored.sharing.former, qt.DeepEquals, []string{"c"})
	c.Assert(proto.Equal(restored.Snapshot(), v.Snapshot()), qt.IsTrue)
}
