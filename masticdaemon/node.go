package masticdaemon

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"masticladder/masticagent"
	"masticladder/masticbackend"
	"masticladder/masticcontrol"
	"masticladder/masticcourse"
	"masticladder/masticdispatch"
	"masticladder/masticgossip"
	"masticladder/masticplace"
	"masticladder/masticproto"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// NodeSettings are the settings of a Node. Addresses are IP:port.
type NodeSettings struct {
	// Peer serves other hosts. It is the host's name too: a host of the first start knows no
	// more of the others than their addresses.
	Peer string
	Zone string
	// Callers is the address that callers are told; empty on hosts that take none.
	Callers string
	// Weight is the host's share of callers relative to other hosts.
	Weight int64
	// Folder holds all files of a control host; empty on others.
	Folder string
	// Founders are the peer addresses of control hosts that this host was told of.
	Founders []string
	// Found reports that the whole system starts for the first time, with empty folders.
	Found bool
	// ViewLease, Election and Heartbeat are those of control.
	ViewLease, Election, Heartbeat time.Duration
	// ListInterval is the time between two readings of the list of backend servers.
	ListInterval time.Duration
	// AddressSpan is how long callers keep an address answer.
	AddressSpan time.Duration
	// Grace is the time from the order to stop to the end of the process.
	Grace time.Duration
	// QuotaSlack is what all hosts together may admit beyond a workspace's rate and burst.
	QuotaSlack int64
	// KeptVoters is the number of answering voters above which a silent one is removed.
	KeptVoters int
	// LoadSpan is the time within which a load of weights has to end.
	LoadSpan time.Duration
	// MemoryBytes is what the process may use; zero sets no bound.
	MemoryBytes int64
}

// Protocols are the codecs of a Node.
type Protocols struct {
	Backends masticcourse.Backends
	Callers  masticcourse.Callers
	Identify func(header map[string][]string) string
	Lister   masticcontrol.Lister
	Loader   masticcontrol.Loader
}

const (
	// collectPercent is the growth of the heap at which it is collected: memory costs more
	// than processor time on the users' machines.
	collectPercent = 60
	// memoryPart is the part of the allowed memory at which the runtime collects harder.
	memoryPart = 0.8
	// shareMargin is the part of a workspace's rate that hosts out of control's reach use.
	shareMargin = 0.9
	// joinInterval is the time between two requests to be made a voter.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one such request.
	joinTimeout = 2 * time.Second
	// sweepInterval is the time between two looks for connections to close.
	sweepInterval = time.Second
	// dialPauseLeast and dialPauseMost bound the pause after a failed connection to another
	// host: when all start at once, control is there within some hundred milliseconds.
	dialPauseLeast = 20 * time.Millisecond
	dialPauseMost  = 200 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process has stopped.
	exitMargin = 900 * time.Millisecond
)

// Node is one host of a system whose protocols towards callers, operators and backend
// servers are codecs around it, and whose configuration is a numbered document.
type Node struct {
	settings  NodeSettings
	protocols Protocols
	log       *logrus.Logger
	registry  metrics.Registry

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
	// liveHosts is the number of live hosts of the view.
	liveHosts atomic.Int64

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
	return n, nil
}

func (n *Node) openWire() error {
	bound, err := netip.ParseAddrPort(n.settings.Peer)
	if err != nil {
		return err
	}
	n.wire = masticwire.New(masticwire.WithMetrics(n.registry), masticwire.WithSource(bound.Addr()), masticwire.WithBackoff(dialPauseLeast, dialPauseMost))
	return nil
}

func (n *Node) openControl() error {
	if n.settings.Folder == "" {
		return nil
	}
	c, err := n.newControl()
	if err != nil {
		return err
	}
	n.control = newKeeper(c, n.newControl, n.log)
	return nil
}

func (n *Node) newControl() (*masticcontrol.Control, error) {
	s := n.settings
	return masticcontrol.New(
		masticcontrol.WithID(s.Peer),
		masticcontrol.WithFolder(s.Folder),
		masticcontrol.WithAddress(s.Peer),
		masticcontrol.WithMembers(founders(s)...),
		masticcontrol.WithWire(n.wire),
		masticcontrol.WithLog(n.log),
		masticcontrol.WithElectionTimeout(s.Election),
		masticcontrol.WithHeartbeat(s.Heartbeat),
		masticcontrol.WithViewLease(s.ViewLease),
		masticcontrol.WithLister(n.protocols.Lister, s.ListInterval),
		masticcontrol.WithQuotaSlack(s.QuotaSlack),
		masticcontrol.WithPushInterval(pushInterval),
		masticcontrol.WithVoterRemoval(s.KeptVoters),
		masticcontrol.WithSnapshotEntries(snapshotEntries, snapshotEntries/2),
		masticcontrol.WithLoader(n.protocols.Loader, nodeLoadSenders, masticplace.WithOrderSpan(s.LoadSpan), masticplace.WithSupersede()),
	)
}

const (
	// snapshotEntries is after how many entries the log is compacted: the disks are small.
	snapshotEntries = 1024
	// pushInterval bounds the messages of a change of weights, which makes some tens of
	// revisions a second. Documents have 2 s to be in force.
	pushInterval = 50 * time.Millisecond
	// nodeLoadSenders is the number of load orders that can be under way at once.
	nodeLoadSenders = 24
)

// founders returns the members that the group starts with. Only the first start has any, so
// that a host that lost its disk never founds a second group.
func founders(s NodeSettings) []*masticproto.Member {
	var members []*masticproto.Member
	own := false
	for _, address := range s.Founders {
		members = append(members, &masticproto.Member{Id: address, Voter: true, Address: address})
		own = own || address == s.Peer
	}
	if !s.Found || !own {
		return nil
	}
	return members
}

func (n *Node) openAgent() error {
	s := n.settings
	agent, err := masticagent.New(
		masticagent.WithHost(s.Peer),
		masticagent.WithControlPeers(s.Founders...),
		masticagent.WithWire(n.wire),
		masticagent.WithOnView(n.onView),
		masticagent.WithLog(n.log),
		masticagent.WithRenewInterval(s.ViewLease*3/10),
		masticagent.WithShare(n.share),
		masticagent.WithLazyAcknowledgement(),
	)
	n.agent = agent
	return err
}

func (n *Node) openCourse() error {
	if n.settings.Callers == "" {
		return nil
	}
	bound, err := netip.ParseAddrPort(n.settings.Peer)
	if err != nil {
		return err
	}
	n.dispatcher = masticdispatch.New(masticdispatch.WithLog(n.log.WithField("host", n.settings.Peer)), masticdispatch.WithSharedLoad())
	n.client = masticbackend.New(masticbackend.WithSource(bound.Addr()), masticbackend.WithIdentify(n.protocols.Identify))
	n.course = masticcourse.New(
		masticcourse.WithViews(n.agent),
		masticcourse.WithLimiter(n.agent.Limiter()),
		masticcourse.WithDispatcher(n.dispatcher),
		masticcourse.WithClient(n.client),
		masticcourse.WithBackends(n.protocols.Backends),
		masticcourse.WithCallers(n.protocols.Callers),
		masticcourse.WithLog(n.log),
	)
	n.gossip, err = masticgossip.New(n.settings.Peer, n.wire, n.agent.View, n.dispatcher, n.log)
	return err
}

// onView hands a new view to the parts that keep a copy.
func (n *Node) onView(v masticview.View) {
	live := int64(0)
	for _, h := range v.Hosts() {
		if h.State == masticview.HostLive {
			live++
		}
	}
	n.liveHosts.Store(live)
	if n.course != nil {
		n.dispatcher.SetView(v)
		n.course.SetView(v)
	}
}

// share returns this host's part of a workspace's rate.
func (n *Node) share(workspace string) masticagent.Share {
	hosts := float64(max(1, n.liveHosts.Load())) / shareMargin
	rate, burst := n.course.Rate(workspace)
	return masticagent.Share{
		RateTokensPerSecond: float64(rate) / hosts,
		BurstTokens:         (float64(burst) + float64(n.settings.QuotaSlack)) / hosts,
	}
}

// Agent returns the host's side of control.
func (n *Node) Agent() *masticagent.Agent { return n.agent }

// Course returns what serves callers, or nil.
func (n *Node) Course() *masticcourse.Course { return n.course }

// Registry returns the metrics.
func (n *Node) Registry() metrics.Registry { return n.registry }

// ServeCallers opens the address for callers.
func (n *Node) ServeCallers(server *http.Server) error {
	h, err := listen(n.settings.Callers, server, nil)
	if err != nil {
		return err
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

// joiner has this control host made a voter whenever it is none.
type joiner struct {
	node    *Node
	stopped chan struct{}
}

// run is an actor.
func (j *joiner) run() error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-j.stopped:
			return nil
		case <-ticker.C:
		}
		if j.node.control.joined() {
			continue
		}
		j.join()
	}
}

func (j *joiner) stop(error) { close(j.stopped) }

func (j *joiner) join() {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	peer := j.node.settings.Peer
	err := j.node.agent.Operator().ChangeMember(ctx, peer, &masticproto.Member{Id: peer, Address: peer, Voter: true})
	j.node.log.WithField("host", peer).WithField("cause", err).Info("asked to be a voter of control")
}

// sweeper closes connections to backend servers that were unused for long.
type sweeper struct {
	client  *masticbackend.Client
	stopped chan struct{}
}

// run is an actor.
func (s *sweeper) run() error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return nil
		case now := <-ticker.C:
			s.client.Sweep(now)
		}
	}
}

func (s *sweeper) stop(error) { close(s.stopped) }
