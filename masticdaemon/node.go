package masticdaemon

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"masticladder/masticadmin"
	"masticladder/masticagent"
	"masticladder/masticassign"
	"masticladder/masticbackend"
	"masticladder/masticbucket"
	"masticladder/masticcontrol"
	"masticladder/masticdispatch"
	"masticladder/masticdrain"
	"masticladder/masticevents"
	"masticladder/masticgossip"
	"masticladder/masticintake"
	"masticladder/masticrelay"
	"masticladder/masticrollout"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// Node is one host of a system whose configuration is a numbered document. The protocols towards
// callers, operators and backend servers are supplied from outside, as codecs (Protocols).
type Node struct {
	settings  NodeSettings
	protocols Protocols
	log       *logrus.Logger
	registry  metrics.Registry
	counters  masticcontrol.Counters

	// intake divides memory and descriptors among the listeners.
	intake       *intake
	wire         *masticwire.Wire
	control      *controlSupervisor
	agent        *masticagent.Agent
	dispatcher   *masticdispatch.Dispatcher
	coordinators *masticassign.Client
	// keeper and quotas are the quotas that this host keeps, and its charges at all keepers.
	keeper *masticbucket.Keeper
	quotas *masticbucket.Limiter
	client *masticbackend.Client
	relay  *masticrelay.Relay
	// traffic places requests during rollouts, nil on a host that serves no callers.
	traffic      *masticrollout.Traffic
	gossip       *masticgossip.Exchange
	events       *masticevents.Readers
	announcer    *announcer
	drainer      *drainer
	callerServer *httpServer
	servers      []*httpServer
	// liveWeight is the total weight of the live hosts that serve callers.
	liveWeight atomic.Int64

	ended   chan struct{}
	endOnce sync.Once
}

// NewNode opens the files and the peer address of the host and sets the process's garbage
// collection percentage and memory limit.
func NewNode(s NodeSettings, p Protocols, log *logrus.Logger) (*Node, error) {
	n := &Node{settings: s, protocols: p, log: log, registry: metrics.NewRegistry(), ended: make(chan struct{})}
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryLimitBytes)))
	}
	n.intake = newIntake(s.MemoryLimitBytes, s.MaxDescriptors, s.CallerAddress != "")
	for _, open := range []func() error{n.openWire, n.openControl, n.openAgent, n.openCourse} {
		if err := open(); err != nil {
			return nil, err
		}
	}
	n.registerMetrics()
	return n, nil
}

// onView passes a new view to the components that keep a copy.
func (n *Node) onView(v masticview.View) {
	live := int64(0)
	for _, h := range v.Hosts() {
		if h.State == masticview.HostLive && h.Address != "" {
			live += h.Weight
		}
	}
	n.liveWeight.Store(live)
	if n.quotas != nil {
		n.quotas.SetView(v)
	}
	if n.relay != nil {
		n.dispatcher.SetView(v)
		n.relay.SetView(v)
	}
}

// onSuspects passes the digests of requests that may crash a backend server to the dispatcher.
func (n *Node) onSuspects(digests []masticview.Digest) {
	if n.relay != nil {
		n.dispatcher.SetSuspects(digests)
		n.relay.SetSuspects(digests)
	}
}

// fleetFraction returns this host's fraction of the weight of all live hosts. Callers are
// distributed by weight.
func (n *Node) fleetFraction() float64 {
	return float64(n.settings.Weight) / float64(max(1, n.settings.Weight, n.liveWeight.Load()))
}

// admissionFraction returns this host's fraction of what all live hosts may admit.
func (n *Node) admissionFraction() float64 { return shareSafetyFactor * n.fleetFraction() }

// outageShare returns the rate and burst that this host may admit for a workspace while the quota
// owner is unreachable.
func (n *Node) outageShare(workspace string) masticagent.Share {
	rate, burst := n.relay.Rate(workspace)
	return masticagent.Share{
		RateTokensPerSecond: n.admissionFraction() * rate,
		BurstTokens:         n.admissionFraction() * (float64(burst) + ownerSlackFraction*float64(n.settings.QuotaSlack)),
	}
}

// quota returns the rate and burst of a workspace that all keepers of quotas together may admit.
func (n *Node) quota(workspace string) masticbucket.Limit {
	rate, burst := n.relay.Rate(workspace)
	return masticbucket.Limit{
		RateTokensPerSecond: rate,
		BurstTokens:         float64(burst) + ownerSlackFraction*float64(n.settings.QuotaSlack),
	}
}

// standingShare returns the rate and burst that this host may admit for a workspace in addition to
// the quota owner's grants.
func (n *Node) standingShare(workspace string) masticagent.Share {
	rate, burst := n.relay.Rate(workspace)
	return masticagent.Share{
		RateTokensPerSecond: n.admissionFraction() * n.settings.QuotaOverage * rate,
		BurstTokens:         n.admissionFraction() * (n.settings.QuotaOverage*float64(burst) + standingSlackFraction*float64(n.settings.QuotaSlack)),
	}
}

// Agent returns the host's client of the control group.
func (n *Node) Agent() *masticagent.Agent { return n.agent }

// Relay returns the component that serves callers' requests, nil on a host that serves none.
func (n *Node) Relay() *masticrelay.Relay { return n.relay }

// ServeMetrics listens on address for requests for the metrics.
func (n *Node) ServeMetrics(address string) error {
	return n.Serve(address, &http.Server{
		Handler: masticadmin.Metrics(n.registry), ReadHeaderTimeout: metricsHeaderTimeout, ReadTimeout: metricsReadTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	})
}

// ServeCallers listens on the callers' address, with the number of connections bounded by
// callerDescriptorFraction, and creates the announcer and the drainer.
func (n *Node) ServeCallers(server *http.Server) error {
	h, err := listen(n.settings.CallerAddress, server, nil)
	if err != nil {
		return err
	}
	trackCallers(h, n.relay.Limits)
	h.countIn(n.intake.callers(false))
	h.requests, h.log = n.relay.Requests(), n.log
	n.callerServer = h
	n.announcer = &announcer{
		host: masticview.Host{
			Name: n.settings.Peer, Address: n.settings.CallerAddress, Peer: n.settings.Peer, Zone: n.settings.Zone,
			Weight: n.settings.Weight, State: masticview.HostLive,
		},
		operator: n.agent.Operator(), views: n.agent, log: n.log, onRetire: n.Drain,
		firstAnnounceAt: time.Now().Add(firstAnnounceDelay),
	}
	n.announcer.context, n.announcer.cancel = context.WithCancel(context.Background())
	n.drainer = newDrainer(&nodeGate{node: n}, n.announcer, n.log, n.settings.AddressListTTL, 0, n.settings.drainTime())
	return nil
}

// Serve listens on a further address for short requests.
func (n *Node) Serve(address string, server *http.Server) error {
	return n.serve(address, server, n.intake.other())
}

// ServeOperators listens on a further address for operators' calls, for which memory is reserved.
func (n *Node) ServeOperators(address string, server *http.Server) error {
	return n.serve(address, server, n.intake.operators(false))
}

func (n *Node) serve(address string, server *http.Server, share *masticintake.Share) error {
	h, err := listen(address, server, nil)
	if err != nil {
		return err
	}
	h.countIn(share)
	h.answerBeforeClose()
	n.servers = append(n.servers, h)
	return nil
}

// Drain starts a graceful shutdown: running requests complete within the grace period. On a host
// that serves no callers it ends the host at once.
func (n *Node) Drain() {
	if n.drainer == nil {
		n.End()
		return
	}
	n.relay.Drain()
	closeBy := time.Now().Add(n.settings.openTime())
	for _, s := range slices.Concat(n.servers, []*httpServer{n.callerServer}) {
		s.closeBy.CompareAndSwap(nil, &closeBy)
	}
	n.drainer.start()
}

// End stops the host without draining.
func (n *Node) End() { n.endOnce.Do(n.end) }

func (n *Node) end() { close(n.ended) }

func (n *Node) waitForEnd() error {
	<-n.ended
	return errEnded
}

// Run serves until the host is drained or ended or a component fails.
func (n *Node) Run() error {
	var g run.Group
	g.Add(n.waitForEnd, func(error) { n.End() })
	if n.callerServer != nil {
		g.Add(n.drainer.run, n.drainer.stop)
		g.Add(n.announcer.run, n.announcer.stop)
		g.Add(n.callerServer.runUntilStopped, n.callerServer.stop)
		g.Add(n.gossip.Serve, n.gossip.StopServing)
		g.Add(n.gossip.Run, n.gossip.Stop)
		g.Add(n.dispatcher.Run, n.dispatcher.Stop)
		if n.events != nil {
			g.Add(n.events.Run, n.events.Stop)
		}
		s := &idleConnectionSweeper{client: n.client, stopped: make(chan struct{})}
		g.Add(s.run, s.stop)
	}
	for _, s := range n.servers {
		g.Add(s.run, s.stop)
	}
	if n.control != nil {
		j := newJoiner(n)
		g.Add(j.run, j.stop)
	}
	agent := newBlockingStopActor(n.agent)
	g.Add(agent.run, agent.stop)
	if n.control != nil {
		g.Add(n.control.run, n.control.stop)
	}
	err := g.Run()
	if n.relay != nil {
		n.relay.Close()
		n.coordinators.Close()
	}
	if errors.Is(err, errEnded) {
		return nil
	}
	return err
}

// nodeGate is the drainable of a Node.
type nodeGate struct{ node *Node }

// Requests returns the running requests.
func (g *nodeGate) Requests() *masticdrain.Requests { return g.node.relay.Requests() }

// Leave makes the relay refuse what may not be repeated and might not be complete at endsAt.
func (g *nodeGate) Leave(endsAt time.Time) { g.node.relay.Leave(endsAt) }

// Drain makes the relay refuse all that it might not complete. The server accepts no connections once Wait shuts
// it down, but callers that keep one still use it.
func (g *nodeGate) Drain() { g.node.relay.RefuseBeyondEnd() }

// EndBy makes the relay refuse all that it might not complete by endsAt.
func (g *nodeGate) EndBy(endsAt time.Time) { g.node.relay.EndBy(endsAt) }

// Wait stops accepting connections and waits for the running requests.
func (g *nodeGate) Wait(ctx context.Context) error { return g.node.callerServer.drainCallers(ctx) }
