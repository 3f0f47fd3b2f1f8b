package masticstate

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "80")
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

func TestPublishIsIdempotentAndDetectsConflicts(t *testing.T) {
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

// TestOlderQuotaCheckpointIsIgnored guards against a checkpoint that is committed again
// later and replaces a newer one.
func TestOlderQuotaCheckpointIsIgnored(t *testing.T) {
	c := qt.New(t)
	s := New()
	checkpoint := func(index, term, sequence uint64, used int64) bool {
		q := &masticproto.QuotaCheckpoint{Term: term, Sequence: sequence, Levels: []*masticproto.QuotaLevel{{Workspace: "mill", UsedTokens: used}}}
		return s.Apply(index, &masticproto.Command{Kind: &masticproto.Command_Quota{Quota: q}}).(QuotaResult).Applied
	}
	c.Assert(checkpoint(1, 2, 1, 10), qt.IsTrue)
	c.Assert(checkpoint(2, 2, 2, 50), qt.IsTrue)
	c.Assert(checkpoint(3, 2, 1, 10), qt.IsFalse)
	c.Assert(checkpoint(4, 1, 9, 10), qt.IsFalse)
	c.Assert(s.QuotaBounds(), qt.DeepEquals, map[string]int64{"mill": 50})
}

func TestDeltasUpdateAView(t *testing.T) {
	c := qt.New(t)
	s := New()
	v := s.View()
	for i := range uint64(MaxDeltas + 1) {
		s.Apply(i+1, publishCommand(1, fmt.Sprint(i), 0, workspaceChange("mill", int64(i+1))))
		if i == 2 {
			deltas, ok := s.Deltas(0)
			c.Assert(ok, qt.IsTrue)
			for _, d := range deltas {
				var err error
				v, err = v.ApplyDelta(d)
				c.Assert(err, qt.IsNil)
			}
			c.Assert(v.Revision(), qt.Equals, s.View().Revision())
		}
	}
	_, ok := s.Deltas(0)
	c.Assert(ok, qt.IsFalse)
	deltas, ok := s.Deltas(1)
	c.Assert(ok, qt.IsTrue)
	c.Assert(deltas, qt.HasLen, MaxDeltas)
}

// TestQuarantinesAreBounded requires that at the limit a new quarantine replaces the one
// that ends first.
func TestQuarantinesAreBounded(t *testing.T) {
	c := qt.New(t)
	s := New()
	index := uint64(0)
	report := func(server string, digests [][]byte) []masticview.Digest {
		index++
		r := &masticproto.SuspectReport{Server: server, ServerIncarnation: "1", Digests: digests, QuarantineUntilUnixMs: startMs + 3_600_000 + int64(index)}
		c.Assert(s.Apply(index, &masticproto.Command{AtUnixMs: startMs, Kind: &masticproto.Command_Suspect{Suspect: r}}).(SuspectResult).Err, qt.IsNil)
		quarantined, err := s.Quarantined()
		c.Assert(err, qt.IsNil)
		return quarantined
	}
	var digests [][]byte
	for i := range masticview.MaxQuarantines + 1 {
		d := masticview.DigestOf(fmt.Append(nil, i))
		digests = append(digests, d[:])
	}
	report("a", digests)
	c.Assert(report("b", digests[:1]), qt.HasLen, 1)
	c.Assert(report("b", digests[1:]), qt.HasLen, masticview.MaxQuarantines)
	c.Assert(s.View().Quarantines(), qt.HasLen, masticview.MaxQuarantines)
	_, kept := s.View().Quarantine(masticview.Digest(digests[0]))
	c.Assert(kept, qt.IsFalse)
}

// TestLostServersOfRestartedHostStayUndecided: when the host that had reported servers as lost restarted,
// nobody reported their ends, and the request that had ended them was free again after half a minute.
func TestLostServersOfRestartedHostStayUndecided(t *testing.T) {
	c := qt.New(t)
	s := New()
	index := uint64(0)
	apply := func(command *masticproto.Command) Result {
		index++
		command.AtUnixMs = startMs + int64(index)
		return s.Apply(index, command)
	}
	list := func(id string, change *masticproto.ViewChange) {
		c.Assert(apply(publishCommand(0, id, s.View().Revision(), change)).(PublishResult).Err, qt.IsNil)
	}
	var servers []*masticproto.Server
	for i := range 4 {
		servers = append(servers, masticview.Server{
			Name: fmt.Sprint("s", i), Kind: masticview.ServerService, URL: fmt.Sprint("http://127.0.0.1:", 1+i), State: masticview.ServerActive, Incarnation: "1",
		}.ToProto())
	}
	list("first", &masticproto.ViewChange{Servers: servers})
	d := masticview.DigestOf([]byte("deadly"))
	for i := range 3 {
		r := &masticproto.SuspectReport{
			Server: fmt.Sprint("s", i), ServerIncarnation: "1", Verdict: masticproto.Verdict_VERDICT_LOST, Digests: [][]byte{d[:]}, AgesMs: []int64{0}, QuarantineAfter: 3,
		}
		c.Assert(apply(&masticproto.Command{Kind: &masticproto.Command_Suspect{Suspect: r}}).(SuspectResult).Err, qt.IsNil)
	}
	quarantined := func() bool {
		_, ok := s.View().Quarantine(d)
		return ok
	}
	list("another", &masticproto.ViewChange{RemovedServers: []string{"s3"}})
	c.Assert(quarantined(), qt.IsFalse)
	replaced := masticview.Server{
		Name: "s0", Kind: masticview.ServerService, URL: "http://127.0.0.1:1", State: masticview.ServerActive, Incarnation: "2",
	}.ToProto()
	list("two", &masticproto.ViewChange{Servers: []*masticproto.Server{replaced}, RemovedServers: []string{"s1"}})
	c.Assert(quarantined(), qt.IsFalse)
	list("three", &masticproto.ViewChange{RemovedServers: []string{"s2"}})
	c.Assert(quarantined(), qt.IsTrue)
}
