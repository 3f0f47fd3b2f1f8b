package masticdispatch

import (
	"time"

	"masticladder/masticcall"
	"masticladder/masticview"
)

// LeavingReporter shares with all hosts that an incarnation of a backend server has stated that it is
// leaving.
type LeavingReporter interface {
	ReportLeaving(server, incarnation string)
}

// WithLeavingReporter sets the receiver of the backend servers that state that they are leaving, unless
// the view says so already. It must not block.
func WithLeavingReporter(r LeavingReporter) Option { return func(d *Dispatcher) { d.leaving = r } }

// ObserveStatement implements masticcall.StatementObserver. The loop applies the statement before any
// command that the caller sends afterwards.
func (d *Dispatcher) ObserveStatement(server masticview.Server, request string, sentAt time.Time, s masticcall.Statement) {
	d.observeRate(server, request, sentAt, s.Rate)
	if (s.Leaving && !d.isLeaving(server)) || s.Paused() {
		d.send(&serverNotice{server: server, request: request, leaving: s.Leaving, pausedUntil: s.PausedUntil})
	}
}

// isLeaving reports whether the loop knows already that the incarnation is leaving.
func (d *Dispatcher) isLeaving(server masticview.Server) bool {
	incarnation, ok := d.leavingServers.Load(server.Name)
	return ok && incarnation == server.Incarnation
}

// serverNotice is what an answer stated of the requests that its backend server takes.
type serverNotice struct {
	server      masticview.Server
	request     string
	leaving     bool
	pausedUntil time.Time
}

func (c *serverNotice) apply(d *Dispatcher, now time.Time) {
	n, changed := d.scheduler.ObserveNotice(now, c.server.Name, c.server.Incarnation, c.leaving, c.pausedUntil)
	if !changed {
		return
	}
	log := d.log.WithField("server", c.server.Name).WithField("incarnation", c.server.Incarnation).WithField("request", c.request)
	if !c.pausedUntil.IsZero() {
		log.WithField("pauseMillis", n.PausedUntil.Sub(now).Milliseconds()).Info("backend server wants no requests for a time")
	}
	if !c.leaving || !n.Leaving() {
		return
	}
	log.Info("backend server states that it is leaving")
	d.verifyLeaving(now)
	d.leavingServers.Store(c.server.Name, c.server.Incarnation)
	if d.leaving != nil {
		d.leaving.ReportLeaving(c.server.Name, c.server.Incarnation)
	}
}

// forgetLeaving forgets the leaving servers that v has no more, or with another incarnation.
func (d *Dispatcher) forgetLeaving(v masticview.View) {
	d.leavingServers.Range(func(name, incarnation any) bool {
		if s, ok := v.Server(name.(string)); !ok || s.Incarnation != incarnation {
			d.leavingServers.Delete(name)
		}
		return true
	})
}
