package masticdaemon

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"net/netip"
	"time"

	"masticladder/masticadmin"
	"masticladder/masticagent"
	"masticladder/masticcontrol"
	"masticladder/masticdispatch"
	"masticladder/masticloader"
	"masticladder/masticplace"
	"masticladder/masticprobe"
	"masticladder/masticproto"
	"masticladder/masticsettings"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// loadSenders is the maximum number of concurrent load orders.
const loadSenders = 8

func (d *Daemon) openWire() error {
	bound, err := netip.ParseAddrPort(d.settings.PeerBound())
	if err != nil {
		return err
	}
	options := []masticwire.Option{masticwire.WithMetrics(d.registry), masticwire.WithSource(bound.Addr()), masticwire.WithIntake(d.intake.peers())}
	if t := d.settings.TLS; t.PeerAuthority != "" {
		security, err := masticwire.NewSecurity(t.PeerAuthority, t.PeerCertificate, t.PeerKey)
		if err != nil {
			return err
		}
		options = append(options, masticwire.WithSecurity(security))
	}
	d.wire = masticwire.New(options...)
	return nil
}

func (d *Daemon) openControl() error {
	if !d.settings.Has(masticsettings.RoleControl) {
		return nil
	}
	c, err := superviseControl(d.newControl, d.log)
	d.control = c
	return err
}

func (d *Daemon) newControl() (*masticcontrol.Control, error) {
	s := d.settings
	return masticcontrol.New(
		masticcontrol.WithID(s.Host),
		masticcontrol.WithFolder(s.DataFolder),
		masticcontrol.WithAddress(s.PeerBound()),
		masticcontrol.WithMembers(initialMembers(s)...),
		masticcontrol.WithWire(d.wire),
		masticcontrol.WithLog(d.log),
		masticcontrol.WithElectionTimeout(millis(s.Timing.ElectionMillis)),
		masticcontrol.WithHeartbeatInterval(millis(s.Timing.HeartbeatMillis)),
		masticcontrol.WithViewLeaseLifetime(millis(s.Timing.ViewLeaseMillis)),
		masticcontrol.WithCounters(&d.counters),
		masticcontrol.WithReceiver(d.receiveFromPeer),
		masticcontrol.WithDiskBytes(s.DiskMegabytes<<20),
		masticcontrol.WithLoader(masticloader.New(), loadSenders, placeOptions(s.Placement)...),
	)
}

// placeOptions returns the load timeout and the limits on concurrent loads of p.
func placeOptions(p masticsettings.Placement) []masticplace.Option {
	options := []masticplace.Option{masticplace.WithOrderTimeout(millis(p.OrderMillis))}
	for owner, n := range p.LoadsAtOnce {
		options = append(options, masticplace.WithMaxConcurrentLoads(owner, n))
	}
	return options
}

// initialMembers returns the members with which the control group starts, nil if this host isn't one
// of them; such a host joins later.
func initialMembers(s masticsettings.Settings) []*masticproto.Member {
	var members []*masticproto.Member
	listed := false
	for _, c := range s.Control {
		members = append(members, &masticproto.Member{Id: c.Host, Voter: true, Address: c.Peer})
		listed = listed || c.Host == s.Host
	}
	if !listed {
		return nil
	}
	return members
}

// leavingReporter passes the leaving backend servers on to the agent, which is created after the dispatcher.
type leavingReporter struct{ daemon *Daemon }

// ReportLeaving implements masticdispatch.LeavingReporter.
func (l *leavingReporter) ReportLeaving(server, incarnation string) {
	l.daemon.agent.Leaving().ReportLeaving(server, incarnation)
}

func (d *Daemon) openAgent() error {
	s := d.settings
	if s.Has(masticsettings.RoleEntry) {
		d.dispatcher = masticdispatch.New(masticdispatch.WithLog(d.log.WithField("host", s.Host)), masticdispatch.WithHost(s.Host),
			masticdispatch.WithLeavingReporter(&leavingReporter{d}))
		d.prober = masticprobe.New(d.dispatcher)
	}
	agent, err := masticagent.New(
		masticagent.WithHost(s.Host),
		masticagent.WithControlPeers(controlPeersNearestFirst(s)...),
		masticagent.WithWire(d.wire),
		masticagent.WithOnView(d.onView),
		masticagent.WithOnSuspects(d.onSuspects),
		masticagent.WithLog(d.log),
		masticagent.WithRenewInterval(millis(s.Timing.ViewLeaseMillis)*3/10),
		masticagent.WithReportInterval(millis(s.Timing.UsageReportMillis)),
	)
	d.agent = agent
	return err
}

// controlPeersNearestFirst returns the peer addresses of the control hosts: this host first, then
// those of its zone, then the others.
func controlPeersNearestFirst(s masticsettings.Settings) []string {
	var own, zone, others []string
	for _, c := range s.Control {
		switch {
		case c.Host == s.Host:
			own = append(own, c.Peer)
		case c.Zone == s.Zone:
			zone = append(zone, c.Peer)
		default:
			others = append(others, c.Peer)
		}
	}
	return append(append(own, zone...), others...)
}

func (d *Daemon) openListeners() error {
	config, err := d.callerTLS()
	if err != nil {
		return err
	}
	digests, err := operatorDigests(d.settings.OperatorKeys)
	if err != nil {
		return err
	}
	admin := masticadmin.New(
		masticadmin.WithOperator(d.agent.Operator()),
		masticadmin.WithRollouts(d.agent),
		masticadmin.WithViews(d.agent),
		masticadmin.WithRegistry(d.registry),
		masticadmin.WithOperatorKeys(digests...),
	)
	if d.adminServer, err = listen(d.settings.Admin, newAdminServer(admin), config); err != nil {
		return err
	}
	d.adminServer.answerBeforeClose()
	d.adminServer.countIn(d.intake.operators(config != nil))
	if d.gate == nil {
		return nil
	}
	if d.callerServer, err = listen(d.settings.Listen, d.gate.NewServer(), nil); err != nil {
		return err
	}
	trackCallers(d.callerServer, nil)
	d.callerServer.useTLS(config)
	d.callerServer.countIn(d.intake.callers(config != nil))
	d.callerServer.requests, d.callerServer.log = d.gate.Requests(), d.log
	d.openAnnouncerAndDrainer()
	return nil
}

func (d *Daemon) openAnnouncerAndDrainer() {
	s := d.settings
	d.announcer = &announcer{
		host: masticview.Host{
			Name:    s.Host,
			Address: d.callerServer.address(),
			Admin:   d.adminServer.address(),
			Peer:    s.Peer,
			Zone:    s.Zone,
			Owner:   s.Owner,
			Weight:  s.Weight,
			State:   masticview.HostLive,
		},
		operator:        d.agent.Operator(),
		views:           d.agent,
		log:             d.log,
		onRetire:        d.Drain,
		firstAnnounceAt: time.Now().Add(firstAnnounceDelay),
	}
	d.announcer.context, d.announcer.cancel = context.WithCancel(context.Background())
	d.drainer = newDrainer(d.gate, d.announcer, d.log, millis(s.Timing.AddressListMillis), millis(s.Timing.ViewLeaseMillis), millis(s.Timing.DrainMillis))
}

func (d *Daemon) callerTLS() (*tls.Config, error) {
	t := d.settings.TLS
	if t.Certificate == "" {
		return nil, nil
	}
	c, err := newCertificateReloader(t.Certificate, t.Key)
	if err != nil {
		return nil, err
	}
	return c.config(), nil
}

func operatorDigests(keys []string) ([]masticview.Digest, error) {
	out := make([]masticview.Digest, 0, len(keys))
	for _, k := range keys {
		b, err := hex.DecodeString(k)
		if err != nil {
			return nil, err
		}
		out = append(out, masticview.Digest(b))
	}
	return out, nil
}
