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

var startTime = time.Unix(1_800_000_000, 0)

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

func initialChange() *masticproto.ViewChange {
	return &masticproto.ViewChange{
		Workspaces: []*masticproto.Workspace{workspace("mill"), workspace("yard")},
		Profiles:   []*masticproto.Profile{profile("review", "mill"), profile("stock", "yard")},
		Keys:       []*masticproto.Key{key("k1", "mill", "review", "active"), key("k2", "mill", "review", "withdrawn")},
		Hosts:      []*masticproto.Host{host("h1", 1, "live"), host("h2", 2, "retired")},
		Servers:    []*masticproto.Server{server("s1", "service"), server("e1", "engine")},
		Services:   []*masticproto.Service{{Name: "orders", Servers: []string{"s1"}}},
	}
}

func TestApplyRefusesInvalidChanges(t *testing.T) {
	c := qt.New(t)
	v, err := View{}.Apply(initialChange(), startTime)
	c.Assert(err, qt.IsNil)
	digest := DigestOf(nil)
	changedDigest := key("k1", "mill", "review", "active")
	changedDigest.Digest = digest[:]
	reusedDigest := key("k3", "mill", "review", "active")
	reusedDigest.Digest = key("k1", "", "", "").Digest
	changedOwner := workspace("mill")
	changedOwner.Owner = "glenmorven"
	invalidChanges := map[string]*masticproto.ViewChange{
		"empty":               {},
		"withdrawn key":       {Keys: []*masticproto.Key{key("k2", "mill", "review", "active")}},
		"key without profile": {Keys: []*masticproto.Key{key("k3", "mill", "none", "active")}},
		"key with a profile of another workspace": {Keys: []*masticproto.Key{key("k3", "yard", "review", "active")}},
		"change of a key's digest":                {Keys: []*masticproto.Key{changedDigest}},
		"digest of another key":                   {Keys: []*masticproto.Key{reusedDigest}},
		"two new keys with one digest":            {Keys: []*masticproto.Key{key("k3", "mill", "review", "active"), {Id: "k4", Digest: key("k3", "", "", "").Digest, Workspace: "mill", Profile: "review", State: "active"}}},
		"change of a profile's workspace":         {Profiles: []*masticproto.Profile{profile("review", "yard")}},
		"profile without workspace":               {Profiles: []*masticproto.Profile{profile("new", "none")}},
		"change of a workspace's owner":           {Workspaces: []*masticproto.Workspace{changedOwner}},
		"retired host made live":                  {Hosts: []*masticproto.Host{host("h2", 2, "live")}},
		"address of another host":                 {Hosts: []*masticproto.Host{host("h3", 1, "live")}},
		"twice":                                   {Hosts: []*masticproto.Host{host("h4", 4, "live"), host("h4", 4, "live")}},
		"change of a server's kind":               {Servers: []*masticproto.Server{server("s1", "engine")}},
		"service on engine":                       {Services: []*masticproto.Service{{Name: "x", Servers: []string{"e1"}}}},
		"service without server":                  {Services: []*masticproto.Service{{Name: "x", Servers: []string{"s9"}}}},
		"quarantine that has ended":               {Quarantines: []*masticproto.Quarantine{{Digest: digest[:], UntilUnixMs: startTime.UnixMilli()}}},
		"short digest":                            {Quarantines: []*masticproto.Quarantine{{Digest: digest[:4], UntilUnixMs: startTime.UnixMilli() + 9}}},
	}
	for name, change := range invalidChanges {
		next, err := v.Apply(change, startTime)
		c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindBadRequest, qt.Commentf(name))
		c.Assert(proto.Equal(next.Snapshot(), v.Snapshot()), qt.IsTrue, qt.Commentf(name))
	}
}

// TestApplyDoesNotChangeEarlierViews also checks that a snapshot followed by a delta gives the same
// view as Apply, and that expired quarantines are removed.
func TestApplyDoesNotChangeEarlierViews(t *testing.T) {
	c := qt.New(t)
	v, err := View{}.Apply(initialChange(), startTime)
	c.Assert(err, qt.IsNil)
	earlier := v.Snapshot()
	d := DigestOf([]byte("crash"))
	change := &masticproto.ViewChange{
		Keys:        []*masticproto.Key{key("k1", "mill", "review", "withdrawn")},
		Quarantines: []*masticproto.Quarantine{{Digest: d[:], UntilUnixMs: startTime.Add(time.Minute).UnixMilli()}},
	}
	next, err := v.Apply(change, startTime)
	c.Assert(err, qt.IsNil)
	c.Assert(proto.Equal(v.Snapshot(), earlier), qt.IsTrue)
	k, _ := v.KeyByDigest(DigestOf([]byte("k1")))
	c.Assert(k.State, qt.Equals, KeyActive)
	k, _ = next.KeyByDigest(DigestOf([]byte("k1")))
	c.Assert(k.State, qt.Equals, KeyWithdrawn)

	restored, err := FromSnapshot(earlier)
	c.Assert(err, qt.IsNil)
	delta := &masticproto.ViewDelta{Revision: 2, AtUnixMs: startTime.UnixMilli(), Change: change}
	updated, err := restored.ApplyDelta(delta)
	c.Assert(err, qt.IsNil)
	c.Assert(proto.Equal(updated.Snapshot(), next.Snapshot()), qt.IsTrue)
	_, err = updated.ApplyDelta(delta)
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindConflict)

	later, err := next.Apply(&masticproto.ViewChange{Workspaces: []*masticproto.Workspace{workspace("new")}}, startTime.Add(time.Hour))
	c.Assert(err, qt.IsNil)
	c.Assert(later.Quarantines(), qt.HasLen, 0)
}

// TestHostsWithOneAddressAreRefused checks that two hosts that are not retired never have the same address, in one change or in two.
func TestHostsWithOneAddressAreRefused(t *testing.T) {
	c := qt.New(t)
	host := func(name, address, peer, state string) *masticproto.Host {
		return &masticproto.Host{Name: name, Address: address, Peer: peer, Zone: "z", State: state}
	}
	change := func(hosts ...*masticproto.Host) *masticproto.ViewChange { return &masticproto.ViewChange{Hosts: hosts} }
	at := time.UnixMilli(1)
	v, err := View{}.Apply(change(host("a", "10.0.0.1:80", "10.0.0.1:81", "live")), at)
	c.Assert(err, qt.IsNil)
	for _, x := range []*masticproto.ViewChange{
		change(host("b", "10.0.0.1:80", "", "live")),
		change(host("b", "10.0.0.1:81", "", "live")),
		change(host("b", "10.0.0.2:80", "10.0.0.1:81", "lost")),
		change(host("b", "10.0.0.2:80", "", "live"), host("c", "10.0.0.2:80", "", "live")),
	} {
		_, err := v.Apply(x, at)
		c.Assert(err, qt.ErrorMatches, ".*have the same address.*")
	}
	_, err = v.Apply(change(host("b", "10.0.0.1:80", "", "retired")), at)
	c.Assert(err, qt.IsNil)
	_, err = v.Apply(change(host("a", "10.0.0.1:80", "10.0.0.1:81", "retired"), host("b", "10.0.0.1:80", "", "live")), at)
	c.Assert(err, qt.IsNil)
}
