package masticdaemon

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"masticladder/masticadmin"
	"masticladder/masticagent"
	"masticladder/masticbackend"
	"masticladder/masticcontrol"
	"masticladder/masticcourse"
	"masticladder/masticdispatch"
	"masticladder/masticgossip"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// Node is one host of a system whose protocols towards callers, operators and backend
// servers are codecs around it, and whose configuration is a numbered document.
type Node struct {
	settings  NodeSettings
	protocols Protocols
	log       *logrus.Logger
	registry  metrics.Registry
	counters  masticcontrol.Counters

	wire       *masticwire.Wire
	control    *keeper
	agent      *masticagent.Agent
	dispatcher *masticdispatch.Dispatcher
	client     *masticbackend.Client
	course     *masticcourse.Course
	gossip     *masticgossip.Exchange
	announce   *announcer
	drain      *drainer
	callers    *httpServer
	servers    []*httpServer
	// liveWeight is the weight of the live hosts that take callers.
	liveWeight atomic.Int64

	ended   chan struct{}
	endOnce sync.Once
}

// NewNode opens the files and the peer address of the host.
func NewNode(s NodeSettings, p Protocols, log *logrus.Logger) (*Node, error) {
	n := &Node{settings: s, protocols: p, log: log, registry: metrics.NewRegistry(), ended: make(chan struct{})}
	debug.SetGCPercent(collectPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryBytes)))
	}
	for _, open := range []func() error{n.openWire, n.openControl, n.openAgent, n.openCourse} {
		if err := open(); err != nil {
			return nil, err
		}
	}
	n.registerMetrics()
	return n, nil
}

// onView hands a new view to the parts that keep a copy.
func (n *Node) onView(v masticview.View) {
	live := int64(0)
	for _, h := range v.Hosts() {
		if h.State == masticview.HostLive && h.Address != "" {
			live += h.Weight
		}
	}
	n.liveWeight.Store(live)
	if n.course != nil {
		n.dispatcher.SetView(v)
		n.course.SetView(v)
	}
}

// part returns this host's part of all that live hosts may admit, by weight, as callers are
// spread.
func (n *Node) part() float64 {
	return shareMargin * float64(n.settings.Weight) / float64(max(1, n.settings.Weight, n.liveWeight.Load()))
}

// share returns what this host may admit of a workspace while the owner is out of reach.
func (n *Node) share(workspace string) masticagent.Share {
	rate, burst := n.course.Rate(workspace)
	return masticagent.Share{
		RateTokensPerSecond: n.part() * float64(rate),
		BurstTokens:         n.part() * (float64(burst) + ownerSlack*float64(n.settings.QuotaSlack)),
	}
}

// standingShare returns what this host may admit of a workspace beside the owner's grants.
func (n *Node) standingShare(workspace string) masticagent.Share {
	rate, burst := n.course.Rate(workspace)
	return masticagent.Share{
		RateTokensPerSecond: n.part() * n.settings.QuotaOverage * float64(rate),
		BurstTokens:         n.part() * (n.settings.QuotaOverage*float64(burst) + standingSlack*float64(n.settings.QuotaSlack)),
	}
}

// Agent returns the host's side of control.
func (n *Node) Agent() *masticagent.Agent { return n.agent }

// Course returns what serves callers, or nil.
func (n *Node) Course() *masticcourse.Course { return n.course }

// ServeMetrics opens the address of the metrics.
func (n *Node) ServeMetrics(address string) error {
	return n.Serve(address, &http.Server{Handler: masticadmin.Metrics(n.registry), ReadHeaderTimeout: metricsTimeout})
}

// ServeCallers opens the address for callers.
func (n *Node) ServeCallers(server *http.Server) error {
	h, err := listen(n.settings.Callers, server, nil)
	if err != nil {
		return err
	}
	if n.settings.Descriptors > 0 {
		h.listener = netutil.LimitListener(h.listener, max(1, int(callersPart*float64(n.settings.Descriptors))))
	}
	n.callers = h
	n.announce = &announcer{
		host: masticview.Host{
			Name: n.settings.Peer, Address: n.settings.Callers, Peer: n.settings.Peer, Zone: n.settings.Zone,
			Weight: n.settings.Weight, State: masticview.HostLive,
		},
		operator: n.agent.Operator(), views: n.agent, log: n.log, onRetire: n.Drain,
		patientUntil: time.Now().Add(announcePatience), stopped: make(chan struct{}),
	}
	n.drain = newDrainer(&nodeGate{n}, n.announce, n.log, n.settings.AddressSpan, 0, n.settings.Grace-exitMargin)
	return nil
}

// Serve opens another address.
func (n *Node) Serve(address string, server *http.Server) error {
	h, err := listen(address, server, nil)
	if err != nil {
		return err
	}
	n.servers = append(n.servers, h)
	return nil
}

// Drain begins to shut down without cutting a request.
func (n *Node) Drain() {
	if n.drain == nil {
		n.End()
		return
	}
	n.course.Drain()
	n.callers.server.SetKeepAlivesEnabled(false)
	n.drain.start()
}

// End ends the host at once.
func (n *Node) End() { n.endOnce.Do(n.end) }

func (n *Node) end() { close(n.ended) }

func (n *Node) waitEnd() error {
	<-n.ended
	return errEnded
}

// Run serves until the host is drained, ended or a part fails.
func (n *Node) Run() error {
	var g run.Group
	g.Add(n.waitEnd, func(error) { n.End() })
	if n.callers != nil {
		g.Add(n.drain.run, n.drain.stop)
		g.Add(n.announce.run, n.announce.stop)
		g.Add(n.callers.runUntilStopped, n.callers.stop)
		g.Add(n.gossip.Serve, n.gossip.StopServing)
		g.Add(n.gossip.Run, n.gossip.Stop)
		g.Add(n.dispatcher.Run, n.dispatcher.Stop)
		s := &sweeper{client: n.client, stopped: make(chan struct{})}
		g.Add(s.run, s.stop)
	}
	for _, s := range n.servers {
		g.Add(s.run, s.stop)
	}
	if n.control != nil {
		j := &joiner{node: n, stopped: make(chan struct{})}
		g.Add(j.run, j.stop)
	}
	agent := newAwaited(n.agent)
	g.Add(agent.run, agent.stop)
	if n.control != nil {
		g.Add(n.control.run, n.control.stop)
	}
	err := g.Run()
	if errors.Is(err, errEnded) {
		return nil
	}
	return err
}

// nodeGate is the part of a Node that a drainer ends.
type nodeGate struct{ node *Node }

// Running returns the number of requests under way.
func (g *nodeGate) Running() int { return int(g.node.course.Running()) }

// Drain is part of Wait: the server takes no connection once it shuts down.
func (g *nodeGate) Drain() {}

// Wait takes no further connection and waits for the requests under way.
func (g *nodeGate) Wait(ctx context.Context) error { return g.node.callers.server.Shutdown(ctx) }
