package masticdaemon

import (
	"errors"
	"maps"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"masticladder/masticagent"
	"masticladder/masticclock"
	"masticladder/masticcontrol"
)

// registerMetrics registers the gauges of the host's components, which /metrics serves.
func (d *Daemon) registerMetrics() {
	d.gauge("lease.remainingMillis", d.leaseRemainingMillis)
	d.intake.register(d.registry)
	if d.control != nil {
		for name, value := range storageGauges(&d.counters, d.settings.DiskMegabytes<<20) {
			d.gauge(name, value)
		}
	}
	if d.gate == nil {
		return
	}
	d.gauge("gate.running", d.running)
	if err := errors.Join(d.dispatcher.Drops().Register(d.registry), d.dispatcher.Placements().Register(d.registry)); err != nil {
		d.log.WithError(err).Warn("registering the metrics of the dispatcher failed; some are missing")
	}
	c := d.engine.Counters()
	d.counter("engine.crossed", &c.WrongRequest)
	d.counter("engine.repeated", &c.Duplicates)
	d.counter("engine.gaps", &c.Gaps)
	d.counter("engine.cut", &c.Truncated)
	d.counter("engine.late", &c.TimedOut)
	d.counter("engine.ended", &c.ServersEnded)
}

// registerMetrics registers the gauges of the node's components, which ServeMetrics serves.
func (n *Node) registerMetrics() {
	n.intake.register(n.registry)
	values := map[string]func() int64{
		"view.revision":            n.revision,
		"document.number":          n.documentNumber,
		"control.reached":          n.leaderReachable,
		"lease.remainingMillis":    n.leaseRemainingMillis,
		"quota.admittedByGrant":    n.agent.Admissions().Granted.Load,
		"quota.admittedByStanding": n.agent.Admissions().Standing.Load,
		"quota.admittedByShare":    n.agent.Admissions().Shared.Load,
		"quota.admittedByKeepers":  n.agent.Admissions().Kept.Load,
		"quota.refused":            n.agent.Admissions().Refused.Load,
	}
	if n.control != nil {
		c := &n.counters
		values["control.term"], values["control.leads"] = c.Term.Load, c.Leads.Load
		values["control.rejectedReports"] = c.RejectedReports.Load
		values["control.renewals"], values["control.renewalCalls"] = c.Renewals.Load, c.RenewalCalls.Load
		values["quota.demands"], values["quota.grants"], values["quota.grantedTokens"] = c.Demands.Load, c.Grants.Load, c.GrantedTokens.Load
		values["orders.sent"], values["orders.failed"], values["orders.outdated"] = c.Orders.Load, c.FailedOrders.Load, c.OutdatedEngines.Load
		values["list.ageMillis"], values["list.failures"] = n.listAgeMillis, c.ListFailures.Load
		maps.Copy(values, storageGauges(c, n.settings.diskBytes()))
		values["list.skipped"] = c.ListSkipped.Load
	}
	if n.relay != nil {
		values["requests.running"] = n.relay.Running
		values["keeper.charges"], values["keeper.refused"] = n.keeper.Charged.Load, n.keeper.Refused.Load
		if err := errors.Join(n.dispatcher.Drops().Register(n.registry), n.dispatcher.Placements().Register(n.registry)); err != nil {
			n.log.WithError(err).Warn("registering the metrics of the dispatcher failed; some are missing")
		}
	}
	if n.events != nil {
		if err := n.events.Register(n.registry); err != nil {
			n.log.WithError(err).Warn("registering the metrics of cache events failed; some are missing")
		}
	}
	for name, value := range values {
		registerGauge(n.registry, name, value)
	}
}

func (n *Node) revision() int64 { return int64(n.agent.View().Revision()) }

// storageGauges returns the gauges of a control host's files on a disk of the given size.
func storageGauges(c *masticcontrol.Counters, diskBytes int64) map[string]func() int64 {
	return map[string]func() int64{
		"storage.logBytes":         c.LogBytes.Load,
		"storage.snapshotBytes":    c.SnapshotBytes.Load,
		"storage.diskBytes":        func() int64 { return diskBytes },
		"storage.refused":          c.StorageRefused.Load,
		"storage.snapshotFailures": c.SnapshotFailures.Load,
		"storage.full":             c.StorageFull.Load,
	}
}

func (n *Node) documentNumber() int64 { return n.agent.View().Document().GetNumber() }

// leaderReachable returns 1 while the leader of the control group is reachable, otherwise 0.
func (n *Node) leaderReachable() int64 {
	if n.agent.ControlReachable() {
		return 1
	}
	return 0
}

func (n *Node) leaseRemainingMillis() int64 { return leaseRemainingMillis(n.agent) }

// listAgeMillis returns the age of the list of backend servers, negative on a host that has not
// read the list.
func (n *Node) listAgeMillis() int64 { return n.counters.ListAge(masticclock.Now()).Milliseconds() }

func (d *Daemon) gauge(name string, value func() int64) { registerGauge(d.registry, name, value) }

// registerGauge adds a gauge to r. Register fails only on a duplicate name; each name is registered
// once per process.
func registerGauge(r metrics.Registry, name string, value func() int64) {
	_ = r.Register(name, metrics.NewFunctionalGauge(value))
}

func (d *Daemon) counter(name string, value *atomic.Int64) { d.gauge(name, value.Load) }

func (d *Daemon) running() int64 { return int64(d.gate.Running()) }

func (d *Daemon) leaseRemainingMillis() int64 { return leaseRemainingMillis(d.agent) }

// leaseRemainingMillis returns the remaining lifetime of the view lease, zero if it has expired.
func leaseRemainingMillis(a *masticagent.Agent) int64 {
	return max(0, masticclock.Until(a.LeaseExpiresAt()).Milliseconds())
}
