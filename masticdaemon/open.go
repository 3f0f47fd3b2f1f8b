package masticdaemon

import (
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

// loadSenders is the number of load orders that can be under way at once.
const loadSenders = 8

func (d *Daemon) openWire() error {
	bound, err := netip.ParseAddrPort(d.settings.PeerBound())
	if err != nil {
		return err
	}
	options := []masticwire.Option{masticwire.WithMetrics(d.registry), masticwire.WithSource(bound.Addr())}
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
	s := d.settings
	if !s.Has(masticsettings.RoleControl) {
		return nil
	}
	control, err := masticcontrol.New(
		masticcontrol.WithID(s.Host),
		masticcontrol.WithFolder(s.DataFolder),
		masticcontrol.WithAddress(s.PeerBound()),
		masticcontrol.WithMembers(firstMembers(s)...),
		masticcontrol.WithWire(d.wire),
		masticcontrol.WithLog(d.log),
		masticcontrol.WithElectionTimeout(millis(s.Timing.ElectionMillis)),
		masticcontrol.WithHeartbeat(millis(s.Timing.HeartbeatMillis)),
		masticcontrol.WithViewLease(millis(s.Timing.ViewLeaseMillis)),
		masticcontrol.WithLoader(masticloader.New(), loadSenders, placeOptions(s.Placement)...),
	)
	d.control = control
	return err
}

// placeOptions returns the bounds of loads that the settings state.
func placeOptions(p masticsettings.Placement) []masticplace.Option {
	options := []masticplace.Option{masticplace.WithOrderSpan(millis(p.OrderMillis))}
	for owner, n := range p.LoadsAtOnce {
		options = append(options, masticplace.WithLoadsAtOnce(owner, n))
	}
	return options
}

// firstMembers returns the members that the group starts with; a host outside them joins later.
func firstMembers(s masticsettings.Settings) []*masticproto.Member {
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

func (d *Daemon) openAgent() error {
	s := d.settings
	if s.Has(masticsettings.RoleEntry) {
		d.dispatcher = masticdispatch.New(masticdispatch.WithLog(d.log.WithField("host", s.Host)))
		d.prober = masticprobe.New(d.dispatcher)
	}
	agent, err := masticagent.New(
		masticagent.WithHost(s.Host),
		masticagent.WithControlPeers(nearestFirst(s)...),
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

// nearestFirst returns the peers of the control hosts: this host, its zone, the others.
func nearestFirst(s masticsettings.Settings) []string {
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
		masticadmin.WithViews(d.agent),
		masticadmin.WithRegistry(d.registry),
		masticadmin.WithOperatorKeys(digests...),
	)
	if d.operators, err = listen(d.settings.Admin, operatorServer(admin), config); err != nil {
		return err
	}
	if d.gate == nil {
		return nil
	}
	if d.callers, err = listen(d.settings.Listen, d.gate.NewServer(), config); err != nil {
		return err
	}
	d.openLeaving()
	return nil
}

func (d *Daemon) openLeaving() {
	s := d.settings
	d.announce = &announcer{
		host: masticview.Host{
			Name:    s.Host,
			Address: d.callers.address(),
			Admin:   d.operators.address(),
			Peer:    s.Peer,
			Zone:    s.Zone,
			Owner:   s.Owner,
			Weight:  s.Weight,
			State:   masticview.HostLive,
		},
		operator:     d.agent.Operator(),
		views:        d.agent,
		log:          d.log,
		onRetire:     d.Drain,
		patientUntil: time.Now().Add(announcePatience),
		stopped:      make(chan struct{}),
	}
	d.drain = newDrainer(d.gate, d.announce, d.log, millis(s.Timing.AddressListMillis), millis(s.Timing.ViewLeaseMillis), millis(s.Timing.DrainMillis))
}

func (d *Daemon) callerTLS() (*tls.Config, error) {
	t := d.settings.TLS
	if t.Certificate == "" {
		return nil, nil
	}
	c, err := newCertificate(t.Certificate, t.Key)
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
