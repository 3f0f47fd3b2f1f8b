// Package masticdaemon creates the components of one host from its settings and runs them.
package masticdaemon

import (
	"errors"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"masticladder/masticaddress"
	"masticladder/masticagent"
	"masticladder/masticcall"
	"masticladder/masticcontrol"
	"masticladder/masticdispatch"
	"masticladder/masticengine"
	"masticladder/masticgate"
	"masticladder/masticgossip"
	"masticladder/masticprobe"
	"masticladder/masticproto"
	"masticladder/masticsettings"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// errEnded stops the group of actors on a regular end; Run doesn't return it.
var errEnded = errors.New("ended")

// Daemon is one host of the system.
type Daemon struct {
	settings masticsettings.Settings
	log      *logrus.Logger
	registry metrics.Registry
	counters masticcontrol.Counters

	// intake divides memory and descriptors among the listeners.
	intake       *intake
	wire         *masticwire.Wire
	control      *controlSupervisor
	agent        *masticagent.Agent
	dispatcher   *masticdispatch.Dispatcher
	gossip       *masticgossip.Exchange
	prober       *masticprobe.Prober
	engine       *masticengine.Client
	gate         *masticgate.Gate
	callerServer *httpServer
	adminServer  *httpServer
	announcer    *announcer
	drainer      *drainer

	ended   chan struct{}
	endOnce sync.Once
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLog sets the logger.
func WithLog(l *logrus.Logger) Option { return func(d *Daemon) { d.log = l } }

// New opens the files and listeners of the host. The host serves requests once Run is called.
func New(settings masticsettings.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: settings,
		log:      logrus.StandardLogger(),
		registry: metrics.NewRegistry(),
		ended:    make(chan struct{}),
	}
	for _, o := range options {
		o(d)
	}
	d.intake = newIntake(processMemoryBytes(), 0, settings.Has(masticsettings.RoleEntry))
	for _, open := range []func() error{d.openWire, d.openControl, d.openAgent, d.openEntry, d.openListeners} {
		if err := open(); err != nil {
			return nil, err
		}
	}
	d.registerMetrics()
	return d, nil
}

// Listen returns the address for callers, or the empty string on a host without the role entry.
func (d *Daemon) Listen() string {
	if d.callerServer == nil {
		return ""
	}
	return d.callerServer.address()
}

// Admin returns the address for operators.
func (d *Daemon) Admin() string { return d.adminServer.address() }

// Operator returns the interface for operators' requests to the control group.
func (d *Daemon) Operator() masticcall.Operator { return d.agent.Operator() }

// Serving reports whether the host holds a view lease. It compares time.Now with the lease's end on
// masticclock, which is only valid if the machine was never suspended.
func (d *Daemon) Serving() bool { return d.agent.Leased(time.Now()) }

// Drain starts a graceful shutdown: running requests complete within the drain timeout. On a host
// without the role entry it ends the host at once.
func (d *Daemon) Drain() {
	if d.drainer == nil {
		d.End()
		return
	}
	d.drainer.start()
}

// End stops the host without draining.
func (d *Daemon) End() { d.endOnce.Do(d.end) }

func (d *Daemon) end() { close(d.ended) }

// Run serves until the host is drained or ended or a component fails. Components are stopped in
// the order in which they are added, so that the agent flushes usage while control still runs.
func (d *Daemon) Run() error {
	var g run.Group
	g.Add(d.waitForEnd, func(error) { d.End() })
	if d.gate != nil {
		d.addEntryActors(&g)
	}
	g.Add(d.adminServer.run, d.adminServer.stop)
	agent := newBlockingStopActor(d.agent)
	g.Add(agent.run, agent.stop)
	if d.control != nil {
		g.Add(d.control.run, d.control.stop)
	}
	err := g.Run()
	if d.engine != nil {
		d.engine.Close()
	}
	if errors.Is(err, errEnded) {
		return nil
	}
	return err
}

func (d *Daemon) addEntryActors(g *run.Group) {
	g.Add(d.drainer.run, d.drainer.stop)
	g.Add(d.announcer.run, d.announcer.stop)
	g.Add(d.callerServer.run, d.callerServer.stop)
	g.Add(d.prober.Run, d.prober.Stop)
	if d.control == nil {
		g.Add(d.gossip.Serve, d.gossip.StopServing)
	}
	g.Add(d.gossip.Run, d.gossip.Stop)
	g.Add(d.dispatcher.Run, d.dispatcher.Stop)
}

// receiveFromPeer passes a message that came to the address of control to the other components.
func (d *Daemon) receiveFromPeer(q *masticproto.PeerRequest) {
	if d.gossip != nil {
		d.gossip.Receive(q)
	}
}

func (d *Daemon) waitForEnd() error {
	<-d.ended
	return errEnded
}

// onView passes a new view to the components that keep a copy.
func (d *Daemon) onView(v masticview.View) {
	metrics.GetOrRegisterGauge("view.revision", d.registry).Update(int64(v.Revision()))
	if d.dispatcher != nil {
		d.dispatcher.SetView(v)
		d.prober.SetView(v)
	}
	if d.engine != nil {
		d.engine.SetView(v)
	}
}

// onSuspects passes the digests of requests that may crash a backend server to the dispatcher.
func (d *Daemon) onSuspects(digests []masticview.Digest) {
	if d.dispatcher != nil {
		d.dispatcher.SetSuspects(digests)
	}
	if d.engine != nil {
		d.engine.SetSuspects(digests)
	}
}

func (d *Daemon) openEntry() error {
	if !d.settings.Has(masticsettings.RoleEntry) {
		return nil
	}
	d.engine = masticengine.New(masticengine.WithLog(d.log), masticengine.WithStatementObserver(d.dispatcher))
	addresses := masticaddress.New(d.agent.View, masticaddress.WithTTL(millis(d.settings.Timing.AddressListMillis)))
	gate, err := masticgate.New(
		masticgate.WithViews(d.agent),
		masticgate.WithLimiter(d.agent.Limiter()),
		masticgate.WithLedger(d.agent.Ledger()),
		masticgate.WithUsage(d.agent.Usage()),
		masticgate.WithSuspects(d.agent.Suspects()),
		masticgate.WithHolds(d.agent.Holds()),
		masticgate.WithDispatcher(d.dispatcher),
		masticgate.WithAddresses(addresses),
		masticgate.WithEngine(d.engine),
		masticgate.WithLog(d.log),
		masticgate.WithHostName(d.settings.Host),
	)
	d.gate = gate
	if err != nil {
		return err
	}
	return d.openGossip()
}

// openGossip opens the exchange of request rates with the other entry hosts. On a control host, their
// reports come to the address of control.
func (d *Daemon) openGossip() error {
	options := []masticgossip.Option{masticgossip.WithLimitsOnly()}
	if d.control == nil {
		options = append(options, masticgossip.WithListen(d.settings.PeerBound()))
	}
	gossip, err := masticgossip.New(d.settings.Host, d.wire, d.agent.View, d.dispatcher, d.log, options...)
	d.gossip = gossip
	return err
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
