package masticdaemon

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// registerMetrics makes the state of the host's parts readable at /metrics.
func (d *Daemon) registerMetrics() {
	d.gauge("lease.remainingMillis", d.leaseRemainingMillis)
	if d.gate == nil {
		return
	}
	d.gauge("gate.running", d.running)
	if err := d.dispatcher.Drops().Register(d.registry); err != nil {
		d.log.WithError(err).Warn("metrics of the dispatcher are missing")
	}
	c := d.engine.Counters()
	d.counter("engine.crossed", &c.Crossed)
	d.counter("engine.repeated", &c.Repeated)
	d.counter("engine.gaps", &c.Gaps)
	d.counter("engine.cut", &c.Cut)
	d.counter("engine.late", &c.Late)
	d.counter("engine.ended", &c.Ended)
}

func (d *Daemon) gauge(name string, value func() int64) {
	_ = d.registry.Register(name, metrics.NewFunctionalGauge(value))
}

func (d *Daemon) counter(name string, value *atomic.Int64) { d.gauge(name, value.Load) }

func (d *Daemon) running() int64 { return int64(d.gate.Running()) }

// leaseRemainingMillis returns how long the view lease still holds, zero where it does not.
func (d *Daemon) leaseRemainingMillis() int64 {
	return max(0, time.Until(d.agent.LeaseUntil()).Milliseconds())
}
