package masticstate

import (
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func workspaceChange(name string, rate int64) *masticproto.ViewChange {
	return &masticproto.ViewChange{Workspaces: []*masticproto.Workspace{{
		Name: name, Owner: "association", RateTokensPerSecond: rate, BurstTokens: 10 * rate,
	}}}
}

func publishCommand(at int64, id string, base uint64, c *masticproto.ViewChange) *masticproto.Command {
	p := &masticproto.Publish{RequestId: id, BaseRevision: base, Change: c}
	return &masticproto.Command{AtUnixMs: at, Kind: &masticproto.Command_Publish{Publish: p}}
}

func TestPublishRule(t *testing.T) {
	c := qt.New(t)
	s := New()
	first := s.Apply(1, publishCommand(1, "a", 0, workspaceChange("mill", 1))).(PublishResult)
	c.Assert(first, qt.Equals, PublishResult{Revision: 1})
	next := s.Apply(2, publishCommand(2, "b", 1, workspaceChange("mill", 2))).(PublishResult)
	c.Assert(next, qt.Equals, PublishResult{Revision: 2})
	again := s.Apply(3, publishCommand(3, "a", 0, workspaceChange("mill", 1))).(PublishResult)
	c.Assert(again, qt.Equals, PublishResult{Revision: 1, Repeated: true})
	other := s.Apply(4, publishCommand(4, "a", 0, workspaceChange("mill", 3))).(PublishResult)
	c.Assert(masticerror.KindOf(other.Err), qt.Equals, masticerror.KindConflict)
	late := s.Apply(5, publishCommand(5, "c", 1, workspaceChange("mill", 4))).(PublishResult)
	c.Assert(masticerror.KindOf(late.Err), qt.Equals, masticerror.KindConflict)
	c.Assert(late.Revision, qt.Equals, uint64(2))
	w, _ := s.View().Workspace("mill")
	c.Assert(w.RateTokensPerSecond, qt.Equals, int64(2))
}
