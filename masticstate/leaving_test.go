package masticstate

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// TestStatedLeavingEndsWithIncarnation checks that a statement holds for the incarnation that made it, and
// survives a snapshot and the end of a load.
func TestStatedLeavingEndsWithIncarnation(t *testing.T) {
	c := qt.New(t)
	s := New()
	index := uint64(0)
	apply := func(k *masticproto.Command) Result {
		index++
		k.AtUnixMs = startMs
		return s.Apply(index, k)
	}
	put := func(incarnation string) {
		server := masticview.Server{Name: "i", Kind: masticview.ServerEngine, URL: "http://10.0.0.1:1", Service: "pool", State: masticview.ServerActive, Incarnation: incarnation}
		apply(&masticproto.Command{Kind: &masticproto.Command_Publish{Publish: &masticproto.Publish{
			RequestId: incarnation, Change: &masticproto.ViewChange{Servers: []*masticproto.Server{server.ToProto()}},
		}}})
	}
	leaving := func(server, incarnation string) bool {
		return apply(&masticproto.Command{Kind: &masticproto.Command_Leaving{Leaving: &masticproto.ServerLeaving{Server: server, Incarnation: incarnation}}}).(LeavingResult).Applied
	}
	put("1")
	c.Assert(leaving("other", "1"), qt.IsFalse)
	c.Assert(leaving("i", "0"), qt.IsFalse)
	c.Assert(leaving("i", "1"), qt.IsTrue)
	c.Assert(leaving("i", "1"), qt.IsFalse)
	apply(&masticproto.Command{Kind: &masticproto.Command_Load{Load: &masticproto.LoadOrder{Server: "i", WeightsVersion: "2", FenceTerm: 1, FenceSequence: 1, Done: true}}})
	b := s.Snapshot()
	s = New()
	c.Assert(s.Restore(b), qt.IsNil)
	got, _ := s.View().Server("i")
	c.Assert(got.State, qt.Equals, masticview.ServerLeaving)
	c.Assert(got.StatedLeaving, qt.IsTrue)
	c.Assert(got.WeightsVersion, qt.Equals, "2")
	put("2")
	got, _ = s.View().Server("i")
	c.Assert(got.State, qt.Equals, masticview.ServerActive)
	c.Assert(got.StatedLeaving, qt.IsFalse)
}
