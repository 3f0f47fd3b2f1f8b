package masticview

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

var begin = time.Unix(1_800_000_000, 0)

func workspace(name string) *masticproto.Workspace {
	return &masticproto.Workspace{Name: name, Owner: "association", RateTokensPerSecond: 100, BurstTokens: 1000}
}

func profile(name, workspace string) *masticproto.Profile {
	return &masticproto.Profile{Name: name, Workspace: workspace, Class: "quick", FirstTokenMillis: 300, MaxOutputTokens: 100}
}

func key(id, workspace, profile, state string) *masticproto.Key {
	d := DigestOf([]byte(id))
	return &masticproto.Key{Id: id, Digest: d[:], Workspace: workspace, Profile: profile, State: state}
}

func host(name string, n int, state string) *masticproto.Host {
	return &masticproto.Host{Name: name, Address: fmt.Sprintf("127.0.0.1:%d", 9000+n), Zone: "a", State: state}
}

func server(name, kind string) *masticproto.Server {
	return &masticproto.Server{Name: name, Kind: kind, Url: "http://127.0.0.1:8000", State: "active"}
}

func first() *masticproto.ViewChange {
	return &masticproto.ViewChange{
		Workspaces: []*masticproto.Workspace{workspace("mill"), workspace("yard")},
		Profiles:   []*masticproto.Profile{profile("review", "mill"), profile("stock", "yard")},
		Keys:       []*masticproto.Key{key("k1", "mill", "review", "active"), key("k2", "mill", "review", "withdrawn")},
		Hosts:      []*masticproto.Host{host("h1", 1, "live"), host("h2", 2, "retired")},
		Servers:    []*masticproto.Server{server("s1", "service"), server("e1", "engine")},
		Services:   []*masticproto.Service{{Name: "orders", Servers: []string{"s1"}}},
	}
}

func TestApplyRefuses(t *testing.T) {
	c := qt.New(t)
	v, err := View{}.Apply(first(), begin)
	c.Assert(err, qt.IsNil)
	past := DigestOf(nil)
	other := key("k1", "mill", "review", "active")
	other.Digest = past[:]
	stolen := key("k3", "mill", "review", "active")
	stolen.Digest = key("k1", "", "", "").Digest
	owned := workspace("mill")
	owned.Owner = "glenmorven"
	refused := map[string]*masticproto.ViewChange{
		"empty":               {},
		"withdrawn key":       {Keys: []*masticproto.Key{key("k2", "mill", "review", "active")}},
		"key without profile": {Keys: []*masticproto.Key{key("k3", "mill", "none", "active")}},
		"key of another":      {Keys: []*masticproto.Key{key("k3", "yard", "review", "active")}},
		"key's digest":        {Keys: []*masticproto.Key{other}},
		"digest of another":   {Keys: []*masticproto.Key{stolen}},
		"two equal digests":   {Keys: []*masticproto.Key{key("k3", "mill", "review", "active"), {Id: "k4", Digest: key("k3", "", "", "").Digest, Workspace: "mill", Profile: "review", State: "active"}}},
		"profile's workspace": {Profiles: []*masticproto.Profile{profile("review", "yard")}},
		"no workspace":        {Profiles: []*masticproto.Profile{profile("new", "none")}},
		"workspace's owner":   {Workspaces: []*masticproto.Workspace{owned}},
		"retired host":        {Hosts: []*masticproto.Host{host("h2", 2, "live")}},
		"host's address":      {Hosts: []*masticproto.Host{host("h3", 1, "live")}},
		"twice":               {Hosts: []*masticproto.Host{host("h4", 4, "live"), host("h4", 4, "live")}},
		"server's kind":       {Servers: []*masticproto.Server{server("s1", "engine")}},
		"service on engine":   {Services: []*masticproto.Service{{Name: "x", Servers: []string{"e1"}}}},
		"service on nothing":  {Services: []*masticproto.Service{{Name: "x", Servers: []string{"s9"}}}},
		"past quarantine":     {Quarantines: []*masticproto.Quarantine{{Digest: past[:], UntilUnixMs: begin.UnixMilli()}}},
		"short digest":        {Quarantines: []*masticproto.Quarantine{{Digest: past[:4], UntilUnixMs: begin.UnixMilli() + 9}}},
	}
	for name, change := range refused {
		next, err := v.Apply(change, begin)
		c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindBadRequest, qt.Commentf(name))
		c.Assert(proto.Equal(next.Snapshot(), v.Snapshot()), qt.IsTrue, qt.Commentf(name))
	}
}

// TestFormerViewsStay sees that a change leaves former views as they were, and that deltas
// and snapshots give the same view.
func TestFormerViewsStay(t *testing.T) {
	c := qt.New(t)
	v, err := View{}.Apply(first(), begin)
	c.Assert(err, qt.IsNil)
	former := v.Snapshot()
	d := DigestOf([]byte("crash"))
	change := &masticproto.ViewChange{
		Keys:        []*masticproto.Key{key("k1", "mill", "review", "withdrawn")},
		Quarantines: []*masticproto.Quarantine{{Digest: d[:], UntilUnixMs: begin.Add(time.Minute).UnixMilli()}},
	}
	next, err := v.Apply(change, begin)
	c.Assert(err, qt.IsNil)
	c.Assert(proto.Equal(v.Snapshot(), former), qt.IsTrue)
	k, _ := v.KeyByDigest(DigestOf([]byte("k1")))
	c.Assert(k.State, qt.Equals, KeyActive)
	k, _ = next.KeyByDigest(DigestOf([]byte("k1")))
	c.Assert(k.State, qt.Equals, KeyWithdrawn)

	copied, err := FromSnapshot(former)
	c.Assert(err, qt.IsNil)
	delta := &masticproto.ViewDelta{Revision: 2, AtUnixMs: begin.UnixMilli(), Change: change}
	fed, err := copied.ApplyDelta(delta)
	c.Assert(err, qt.IsNil)
	c.Assert(proto.Equal(fed.Snapshot(), next.Snapshot()), qt.IsTrue)
	_, err = fed.ApplyDelta(delta)
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindConflict)

	later, err := next.Apply(&masticproto.ViewChange{Workspaces: []*masticproto.Workspace{workspace("new")}}, begin.Add(time.Hour))
	c.Assert(err, qt.IsNil)
	c.Assert(later.Quarantines(), qt.HasLen, 0)
}
