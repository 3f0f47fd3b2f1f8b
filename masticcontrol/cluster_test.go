package masticcontrol_test

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticagent"
	"masticladder/masticcontrol"
	"masticladder/masticproto"
	"masticladder/masticwire"
)

const (
	testTimeout      = 60 * time.Second
	testPollInterval = 2 * time.Millisecond
)

// cluster runs control hosts and agents over real TCP and files.
type cluster struct {
	t       testing.TB
	network *network
	folder  string
	nodes   map[string]*node
	names   []string
	options []masticcontrol.Option
}

// node is one control host, running or stopped.
type node struct {
	name    string
	ip      netip.Addr
	relay   *relay
	folder  string
	wire    *masticwire.Wire
	control *masticcontrol.Control
	options []masticcontrol.Option
	running sync.WaitGroup
	ended   atomic.Bool
	err     error
}

func newCluster(t testing.TB, names []string, options ...masticcontrol.Option) *cluster {
	c := &cluster{t: t, network: newNetwork(t), folder: t.TempDir(), nodes: map[string]*node{}, names: names, options: options}
	for i, name := range names {
		c.add(name, i)
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) add(name string, number int) *node {
	n := &node{name: name, ip: netip.AddrFrom4([4]byte{127, 0, 0, byte(11 + number)}), folder: filepath.Join(c.folder, name)}
	n.relay = c.network.relay(c.t, n.ip)
	c.nodes[name] = n
	return n
}

func (c *cluster) members() []*masticproto.Member {
	var members []*masticproto.Member
	for _, name := range c.names {
		members = append(members, &masticproto.Member{Id: name, Voter: true, Address: c.nodes[name].relay.address()})
	}
	return members
}

func (c *cluster) startAll() {
	for _, name := range c.names {
		c.start(name, c.members()...)
	}
}

func (c *cluster) start(name string, members ...*masticproto.Member) {
	c.t.Helper()
	n := c.nodes[name]
	control, err := c.open(n, members...)
	if err != nil {
		c.t.Fatal(err)
	}
	n.control = control
	n.relay.setTarget(control.Address())
	n.ended.Store(false)
	n.running.Add(1)
	go n.run()
}

// open opens control of a host, from a new wire.
func (c *cluster) open(n *node, members ...*masticproto.Member) (*masticcontrol.Control, error) {
	n.wire = masticwire.New(masticwire.WithSource(n.ip))
	return masticcontrol.New(append([]masticcontrol.Option{
		masticcontrol.WithID(n.name),
		masticcontrol.WithFolder(n.folder),
		masticcontrol.WithAddress(netip.AddrPortFrom(n.ip, 0).String()),
		masticcontrol.WithMembers(members...),
		masticcontrol.WithWire(n.wire),
		masticcontrol.WithLog(testLog(c.t)),
		masticcontrol.WithSeed(uint64(n.ip.As4()[3])),
	}, slices.Concat(c.options, n.options)...)...)
}

func (n *node) run() {
	defer n.running.Done()
	n.err = n.control.Run()
	n.ended.Store(true)
}

// stopped reports whether the host's Run has returned.
func (n *node) stopped() bool { return n.ended.Load() }

func (c *cluster) stop(name string) {
	n := c.nodes[name]
	if n.control == nil {
		return
	}
	n.control.Stop(nil)
	n.running.Wait()
	n.control = nil
	n.relay.cut()
}

func (c *cluster) stopAll() {
	for name := range c.nodes {
		c.stop(name)
	}
}

// isolate calls set for both directions between a control host and each other control host.
func (c *cluster) isolate(name string, set func(from, to netip.Addr)) {
	for _, other := range c.names {
		if other != name {
			set(c.nodes[name].ip, c.nodes[other].ip)
			set(c.nodes[other].ip, c.nodes[name].ip)
		}
	}
}

// client is the agent of one entry host.
type client struct {
	*masticagent.Agent
	ip      netip.Addr
	wire    *masticwire.Wire
	running sync.WaitGroup
}

func (a *client) run() {
	defer a.running.Done()
	_ = a.Run()
}

func (a *client) stop() {
	a.Stop(nil)
	a.running.Wait()
}

// agent starts the agent of an entry host.
func (c *cluster) agent(number int, options ...masticagent.Option) *client {
	c.t.Helper()
	a := &client{ip: netip.AddrFrom4([4]byte{127, 0, 1, byte(number)})}
	a.wire = masticwire.New(masticwire.WithSource(a.ip))
	var peers []string
	for _, name := range c.names {
		peers = append(peers, c.nodes[name].relay.address())
	}
	options = append([]masticagent.Option{
		masticagent.WithHost(hostName(number)),
		masticagent.WithControlPeers(peers...),
		masticagent.WithWire(a.wire),
		masticagent.WithLog(testLog(c.t)),
	}, options...)
	agent, err := masticagent.New(options...)
	if err != nil {
		c.t.Fatal(err)
	}
	a.Agent = agent
	a.running.Add(1)
	go a.run()
	c.t.Cleanup(a.stop)
	return a
}

func hostName(number int) string { return fmt.Sprintf("host%d", number) }

func testLog(t testing.TB) logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(t.Output())
	l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: "05.000", DisableColors: true})
	return l
}

// eventually waits until f returns true, and fails the test after testTimeout.
func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !f() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s", testTimeout, what)
		}
		time.Sleep(testPollInterval)
	}
}

func (c *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.t.Cleanup(cancel)
	return ctx
}

// leader returns the name of the leader that an agent reaches.
func (c *cluster) leader(a *client) string {
	c.t.Helper()
	var name string
	c.eventually("a leader", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s, err := a.Operator().Status(ctx)
		name = s.Leader
		return err == nil && name != ""
	})
	return name
}

// publish publishes a change without requiring a base revision.
func (c *cluster) publish(a *client, id string, change *masticproto.ViewChange) uint64 {
	c.t.Helper()
	p, err := a.Operator().Publish(c.context(), id, 0, change)
	if err != nil {
		c.t.Fatalf("publish %s: %v", id, err)
	}
	return p.Revision
}

// baseChange returns a change with hosts 1 to n, a workspace, a profile and an active key.
func baseChange(hosts int) *masticproto.ViewChange {
	change := &masticproto.ViewChange{
		Workspaces: []*masticproto.Workspace{{Name: "saws", Owner: "association", RateTokensPerSecond: 1000, BurstTokens: 10_000}},
		Profiles:   []*masticproto.Profile{{Name: "review", Workspace: "saws", Class: "long", FirstTokenMillis: 1000, MaxOutputTokens: 100}},
		Keys:       []*masticproto.Key{testKey("active")},
	}
	for i := range hosts {
		change.Hosts = append(change.Hosts, &masticproto.Host{
			Name: hostName(i + 1), Address: fmt.Sprintf("127.0.1.%d:80", i+1), Zone: "a", Owner: "association", Weight: 1, State: "live",
		})
	}
	return change
}

func testKey(state string) *masticproto.Key {
	digest := make([]byte, 32)
	digest[0] = 7
	return &masticproto.Key{Id: "key", Digest: digest, Workspace: "saws", Profile: "review", State: state}
}

func keyChange(state string) *masticproto.ViewChange {
	return &masticproto.ViewChange{Keys: []*masticproto.Key{testKey(state)}}
}
