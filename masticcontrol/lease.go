package masticcontrol

import (
	"cmp"
	"slices"
	"time"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticlease"
	"masticladder/masticproto"
)

// pendingPublish is a committed publish whose call waits until it is in force.
type pendingPublish struct {
	call     *call
	answer   *masticproto.CommandAnswer
	deadline time.Time
}

// answerSlack is the time that an answer needs to reach its caller.
const answerSlack = 100 * time.Millisecond

// renew grants a view lease to a host of the view. The answer includes the view changes and
// suspects that the host lacks.
func (d *leaderState) renew(now time.Time, c *call, r *masticproto.RenewRequest) {
	d.loop.counters.recordRenewals(1)
	answer := d.renewLease(now, r)
	answer.Relayable = len(d.loop.status.Peers) > 0
	d.loop.addUpdates(answer, r)
	c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Renew{Renew: answer}})
}

// renewBatch grants view leases to several hosts.
func (d *leaderState) renewBatch(now time.Time, c *call, b *masticproto.RenewBatch) {
	if len(b.GetRenewals()) > maxRelayed {
		c.fail(masticerror.New(masticerror.KindBadRequest, "a batch of over %d renewals", maxRelayed))
		return
	}
	d.loop.counters.recordRenewals(len(b.GetRenewals()))
	answer := &masticproto.RenewBatchAnswer{}
	for _, r := range b.GetRenewals() {
		answer.Answers = append(answer.Answers, d.renewLease(now, r))
	}
	c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_RenewBatch{RenewBatch: answer}})
}

// renewLease grants a view lease to a host of the view.
func (d *leaderState) renewLease(now time.Time, r *masticproto.RenewRequest) *masticproto.RenewAnswer {
	answer := &masticproto.RenewAnswer{Id: r.GetId(), Term: d.term, Revision: d.loop.state.View().Revision()}
	if _, known := d.loop.state.View().Host(r.GetHost()); known {
		g := d.grantor.Renew(now, d.loop.status.LeaseUntil, masticlease.Renewal{
			ID:           r.GetId(),
			Host:         r.GetHost(),
			Incarnation:  r.GetIncarnation(),
			Acknowledged: r.GetRevision(),
		})
		answer.SpanUs = g.Lifetime.Microseconds()
		d.recordEvidence(now, r)
		d.renewals.lostCheckFrom[r.GetHost()] = now
		d.renewals.lastRenewed[r.GetHost()] = now
	}
	return answer
}

// addUpdates adds to the answer to r what the host lacks and this control host has: view changes, suspects
// and the members.
func (l *loop) addUpdates(answer *masticproto.RenewAnswer, r *masticproto.RenewRequest) {
	if !l.replays(masticclock.Now()) && r.GetRevision() < l.state.View().Revision() {
		answer.Update = l.updateFrom(r.GetRevision())
	}
	if !l.replays(masticclock.Now()) && r.GetSuspects() != l.state.Suspects().Fingerprint() {
		answer.Suspects = l.suspectsSince(r.GetSuspects(), r.GetSuspectDifferences())
	}
	for _, m := range l.status.Members {
		answer.Control = append(answer.Control, m.GetAddress())
	}
}

// awaitInForce queues a committed publish until it is in force or its deadline has passed. The
// deadline is at the latest answerSlack before the caller stops waiting.
func (d *leaderState) awaitInForce(now time.Time, c *call, answer *masticproto.CommandAnswer) {
	deadline := now.Add(d.loop.viewLeaseLifetime + d.loop.inForceMargin)
	if ends, bounded := c.context.Deadline(); bounded && ends.Add(-answerSlack).Before(deadline) {
		deadline = ends.Add(-answerSlack)
	}
	i, _ := slices.BinarySearchFunc(d.pendingPublishes, answer.GetRevision(), comparePublish)
	d.pendingPublishes = slices.Insert(d.pendingPublishes, i, pendingPublish{call: c, answer: answer, deadline: deadline})
}

func comparePublish(p pendingPublish, revision uint64) int {
	return cmp.Compare(p.answer.GetRevision(), revision)
}

// answerPublishes answers the publishes that are in force at now or past their deadline. Pending publishes are in
// the order of their revisions, so that none is in force after the first that is not.
func (d *leaderState) answerPublishes(now time.Time) {
	waiting, inForce := d.pendingPublishes[:0], true
	for _, p := range d.pendingPublishes {
		if inForce {
			inForce, _ = d.grantor.InForce(now, p.answer.GetRevision())
		}
		p.answer.InForce = inForce
		if !p.answer.GetInForce() && now.Before(p.deadline) {
			waiting = append(waiting, p)
			continue
		}
		d.loop.log.WithField("revision", p.answer.GetRevision()).
			WithField("inForce", p.answer.GetInForce()).Info("publish answered")
		p.call.answer(commandAnswer(p.answer))
	}
	clear(d.pendingPublishes[len(waiting):])
	d.pendingPublishes = waiting
}

// nextDeadline returns when answerPublishes or proposeDue is due, or zero if the lease is not
// held.
func (d *leaderState) nextDeadline() time.Time {
	if !d.loop.status.LeaseHeld {
		return time.Time{}
	}
	next := d.nextTick
	if d.placement != nil && d.placement.nextPlanTime(d.loop.state.View().Revision()).Before(next) {
		next = d.placement.nextPlanTime(d.loop.state.View().Revision())
	}
	if len(d.pendingPublishes) == 0 {
		return next
	}
	if _, by := d.grantor.InForce(masticclock.Now(), d.pendingPublishes[0].answer.GetRevision()); by.Before(next) {
		next = by
	}
	for _, p := range d.pendingPublishes {
		if p.deadline.Before(next) {
			next = p.deadline
		}
	}
	return next
}
