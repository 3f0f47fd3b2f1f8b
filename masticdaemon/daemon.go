// Package masticdaemon joins the parts of one host as its settings state.
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
	"masticladder/masticprobe"
	"masticladder/masticsettings"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// errEnded ends the group of actors without being a failure.
var errEnded = errors.New("ended")

// Daemon is one host of the system.
type Daemon struct {
	settings masticsettings.Settings
	log      *logrus.Logger
	registry metrics.Registry

	wire       *masticwire.Wire
	control    *masticcontrol.Control
	agent      *masticagent.Agent
	dispatcher *masticdispatch.Dispatcher
	prober     *masticprobe.Prober
	engine     *masticengine.Client
	gate       *masticgate.Gate
	callers    *httpServer
	operators  *httpServer
	announce   *announcer
	drain      *drainer

	ended   chan struct{}
	endOnce sync.Once
}

// Option sets a part of a Daemon.
type Option func(*Daemon)

// WithLog sets the log.
func WithLog(l *logrus.Logger) Option { return func(d *Daemon) { d.log = l } }

// New opens the files and addresses of the host. It serves once Run is called.
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
	for _, open := range []func() error{d.openWire, d.openControl, d.openAgent, d.openEntry, d.openListeners} {
		if err := open(); err != nil {
			return nil, err
		}
	}
	d.registerMetrics()
	return d, nil
}

// Listen returns the address for callers, or nothing on a host without the role entry.
func (d *Daemon) Listen() string {
	if d.callers == nil {
		return ""
	}
	return d.callers.address()
}

// Admin returns the address for operators.
func (d *Daemon) Admin() string { return d.operators.address() }

// Operator returns what carries out operators' orders.
func (d *Daemon) Operator() masticcall.Operator { return d.agent.Operator() }

// Serving reports whether the host holds a view lease.
func (d *Daemon) Serving() bool { return d.agent.Leased(time.Now()) }

// Drain begins to shut down without cutting a request.
func (d *Daemon) Drain() {
	if d.drain == nil {
		d.End()
		return
	}
	d.drain.start()
}

// End ends the host at once.
func (d *Daemon) End() { d.endOnce.Do(d.end) }

func (d *Daemon) end() { close(d.ended) }

// Run serves until the host is drained, ended or a part fails. The parts are stopped in
// the order in which they are added, so that usage is flushed while control still runs.
func (d *Daemon) Run() error {
	var g run.Group
	g.Add(d.waitEnd, func(error) { d.End() })
	if d.gate != nil {
		d.addEntry(&g)
	}
	g.Add(d.operators.run, d.operators.stop)
	agent := newAwaited(d.agent)
	g.Add(agent.run, agent.stop)
	if d.control != nil {
		g.Add(d.control.Run, d.control.Stop)
	}
	err := g.Run()
	if errors.Is(err, errEnded) {
		return nil
	}
	return err
}

func (d *Daemon) addEntry(g *run.Group) {
	g.Add(d.drain.run, d.drain.stop)
	g.Add(d.announce.run, d.announce.stop)
	g.Add(d.callers.run, d.callers.stop)
	g.Add(d.prober.Run, d.prober.Stop)
	g.Add(d.dispatcher.Run, d.dispatcher.Stop)
}

func (d *Daemon) waitEnd() error {
	<-d.ended
	return errEnded
}

// onView hands a new view to the parts that keep a copy.
func (d *Daemon) onView(v masticview.View) {
	metrics.GetOrRegisterGauge("view.revision", d.registry).Update(int64(v.Revision()))
	if d.dispatcher != nil {
		d.dispatcher.SetView(v)
		d.prober.SetView(v)
	}
}

// onSuspects hands the requests that may end a backend server to the scheduler.
func (d *Daemon) onSuspects(digests []masticview.Digest) {
	if d.dispatcher != nil {
		d.dispatcher.SetSuspects(digests)
	}
}

func (d *Daemon) openEntry() error {
	if !d.settings.Has(masticsettings.RoleEntry) {
		return nil
	}
	d.engine = masticengine.New()
	addresses := masticaddress.New(d.agent.View, masticaddress.WithSpan(millis(d.settings.Timing.AddressListMillis)))
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
	return err
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
