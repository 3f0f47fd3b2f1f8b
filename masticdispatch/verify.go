package masticdispatch

import (
	"time"

	"masticladder/masticroute"
	"masticladder/masticview"
)

// LeavingVerifier checks which incarnation of a backend server has stated that it is leaving.
type LeavingVerifier interface {
	// VerifyLeaving checks the server until Unverified reports false. It must not block.
	VerifyLeaving(server masticview.Server)
}

// WithLeavingVerifier sets the verifier of leaving servers. Without it, a restart that the view shows ends what a server
// stated before.
func WithLeavingVerifier(v LeavingVerifier) Option {
	return func(d *Dispatcher) {
		d.verifier = v
		d.routerOptions = append(d.routerOptions, masticroute.WithVerifiedLeaving())
	}
}

// Unverified implements masticcall.CheckObserver.
func (d *Dispatcher) Unverified(server string) bool {
	_, ok := d.unverified.Load(server)
	return ok
}

// ObserveCheck implements masticcall.CheckObserver. The loop applies it after the statements that the caller sent before.
func (d *Dispatcher) ObserveCheck(server, incarnation string, sentAt time.Time) {
	if d.Unverified(server) {
		d.send(&answeredCheck{server, incarnation, sentAt})
	}
}

type answeredCheck struct {
	server, incarnation string
	sentAt              time.Time
}

func (c *answeredCheck) apply(d *Dispatcher, now time.Time) {
	again := d.scheduler.ObserveCheck(now, c.server, c.incarnation, c.sentAt)
	d.log.WithField("server", c.server).WithField("incarnation", c.incarnation).WithField("ageMillis", now.Sub(c.sentAt).Milliseconds()).
		WithField("serves", again).Info("leaving backend server checked")
	d.verifyLeaving(now)
}

// verifyLeaving has the unverified servers checked.
func (d *Dispatcher) verifyLeaving(now time.Time) {
	if d.verifier == nil {
		return
	}
	unverified := map[string]bool{}
	for _, s := range d.scheduler.Unverified(now) {
		unverified[s.Name] = true
		d.unverified.Store(s.Name, nil)
		d.verifier.VerifyLeaving(s)
	}
	d.unverified.Range(func(name, _ any) bool {
		if !unverified[name.(string)] {
			d.unverified.Delete(name)
		}
		return true
	})
}
