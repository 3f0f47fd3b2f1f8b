package masticcontrol

import (
	"time"

	"masticladder/masticclock"
	"masticladder/masticlease"
	"masticladder/masticproto"
)

// force is a publish that waits to be in force.
type force struct {
	call     *call
	answer   *masticproto.CommandAnswer
	deadline time.Time
}

// answerSlack is the time that an answer needs to reach its caller.
const answerSlack = 100 * time.Millisecond

// renew grants a view lease to a host of the view, and sends it what it lacks.
func (d *leader) renew(now time.Time, c *call, r *masticproto.RenewRequest) {
	answer := &masticproto.RenewAnswer{Id: r.GetId(), Term: d.term, Revision: d.loop.state.View().Revision()}
	if _, known := d.loop.state.View().Host(r.GetHost()); known {
		g := d.grantor.Renew(now, d.loop.status.LeaseUntil, masticlease.Renewal{
			ID:           r.GetId(),
			Host:         r.GetHost(),
			Incarnation:  r.GetIncarnation(),
			Acknowledged: r.GetRevision(),
		})
		answer.SpanUs = g.Span.Microseconds()
		d.absences.renewed[r.GetHost()] = now
		d.absences.heard[r.GetHost()] = now
	}
	if r.GetRevision() < answer.GetRevision() {
		answer.Update = d.loop.updateFrom(r.GetRevision())
	}
	if r.GetSuspects() != d.loop.state.Suspects().Fingerprint() {
		answer.Suspects = d.loop.suspectSet()
	}
	for _, m := range d.loop.status.Members {
		answer.Control = append(answer.Control, m.GetAddress())
	}
	c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Renew{Renew: answer}})
}

// suspectSet returns the present suspects.
func (l *loop) suspectSet() *masticproto.SuspectSet {
	tracker := l.state.Suspects()
	set := &masticproto.SuspectSet{Fingerprint: tracker.Fingerprint()}
	for _, x := range tracker.Digests() {
		set.Digests = append(set.Digests, x[:])
	}
	return set
}

// await keeps a committed publish until it is in force or its bound has passed, which
// is a little before the caller stops waiting.
func (d *leader) await(now time.Time, c *call, answer *masticproto.CommandAnswer) {
	deadline := now.Add(d.loop.viewLease + d.loop.forceMargin)
	if ends, bounded := c.context.Deadline(); bounded && ends.Add(-answerSlack).Before(deadline) {
		deadline = ends.Add(-answerSlack)
	}
	d.forces = append(d.forces, force{call: c, answer: answer, deadline: deadline})
}

// settle answers the publishes that are in force by now or past their bound.
func (d *leader) settle(now time.Time) {
	waiting := d.forces[:0]
	for _, f := range d.forces {
		f.answer.InForce, _ = d.grantor.InForce(now, f.answer.GetRevision())
		if !f.answer.GetInForce() && now.Before(f.deadline) {
			waiting = append(waiting, f)
			continue
		}
		d.loop.log.WithField("revision", f.answer.GetRevision()).
			WithField("inForce", f.answer.GetInForce()).Info("publish answered")
		f.call.answer(commandAnswer(f.answer))
	}
	clear(d.forces[len(waiting):])
	d.forces = waiting
}

// nextDeadline returns when settle or propose is due, or zero.
func (d *leader) nextDeadline() time.Time {
	if !d.loop.status.LeaseHeld {
		return time.Time{}
	}
	next := d.nextTick
	if d.placement != nil && d.placement.due(d.loop.state.View().Revision()).Before(next) {
		next = d.placement.due(d.loop.state.View().Revision())
	}
	now := masticclock.Now()
	for _, f := range d.forces {
		_, by := d.grantor.InForce(now, f.answer.GetRevision())
		for _, t := range []time.Time{by, f.deadline} {
			if t.Before(next) {
				next = t
			}
		}
	}
	return next
}
