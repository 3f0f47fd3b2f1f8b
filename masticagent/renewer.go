package masticagent

import (
	"context"
	"math/rand/v2"
	"time"

	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticlease"
	"masticladder/masticproto"
)

// evidenceInterval is the time between two renewals while a rollout runs. With 0.45 s, twice as many versions that turned out bad once
// they had all of the traffic got more requests than the bounds allow.
const evidenceInterval = 200 * time.Millisecond

// renewer renews the view lease: it acknowledges the revision of this host at every interval
// and, unless acknowledgement is lazy, immediately after an update.
type renewer struct {
	agent     *Agent
	wake      chan struct{}
	holder    *masticlease.Holder
	leaseHeld bool
	// reporting reports that the last renewal had evidence of a rollout.
	reporting bool
	// refused reports that the leader grants no lease although this host serves the newest revision.
	refused bool
	// lagging reports that the control host that answered last does not have the newest view.
	lagging bool
}

// lagDelay is the time to the next renewal while the control hosts asked do not have the newest view.
const lagDelay = 150 * time.Millisecond

func newRenewer(a *Agent) *renewer {
	return &renewer{agent: a, wake: make(chan struct{}, 1), holder: masticlease.NewHolder(a.host, a.incarnation)}
}

// renewNow triggers a renewal without waiting for the interval.
func (r *renewer) renewNow() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *renewer) run(ctx context.Context) {
	defer r.agent.running.Done()
	for ctx.Err() == nil {
		delay := r.agent.renewInterval
		if r.reporting {
			delay = min(delay, evidenceInterval)
		}
		if err := r.renew(ctx); err != nil {
			delay = r.agent.retryDelay
			if r.lagging {
				delay = min(lagDelay, r.agent.renewInterval)
			}
			r.agent.log.WithError(err).Debug("the view lease was not renewed")
		}
		r.logLease(masticclock.Now())
		r.wait(ctx, delay)
	}
}

// wait returns after delay, shortened by a random jitter of up to 10 %, on a wake-up or when ctx
// ends.
func (r *renewer) wait(ctx context.Context, delay time.Duration) {
	t := time.NewTimer(delay - rand.N(delay/10+1))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.wake:
	case <-ctx.Done():
	}
}

// renew sends one renewal. The lease's lifetime counts from before it is sent.
func (r *renewer) renew(ctx context.Context) error {
	r.holder.SetRevision(r.agent.View().Revision())
	renewal := r.holder.Renewal(masticclock.Now())
	evidence := r.evidence()
	r.reporting = len(evidence) > 0
	relay := r.agent.views.relaysRenewals()
	client := r.agent.leader
	if relay {
		client = r.agent.members
	}
	a, err := client.callOnce(ctx, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Renew{Renew: &masticproto.RenewRequest{
		Id:          renewal.ID,
		Host:        renewal.Host,
		Incarnation: renewal.Incarnation,
		Revision:    renewal.Acknowledged,
		Suspects:    r.agent.suspects.fingerprint(),
		Relay:       relay,
		Evidence:    evidence,

		SuspectDifferences: true,
	}}}, r.agent.renewTimeout)
	if err != nil {
		r.lagging = false
		return err
	}
	if !relay {
		r.agent.watcher.prefer(a.address)
	}
	r.agent.views.recordAnswer(masticclock.Now())
	r.agent.leader.setMembers(a.answer.GetRenew().GetControl())
	r.agent.members.setMembers(a.answer.GetRenew().GetControl())
	if relay && a.answer.GetRenew().GetRelayable() {
		r.agent.members.moveOn(a.address)
	}
	r.applyAnswer(a.answer.GetRenew())
	return r.lagError(a)
}

// lagError returns an error if this host lacks a revision and the control host that answered did not send it, since it lags itself.
// The next renewal and the next view stream go to another one, without waiting for the interval.
func (r *renewer) lagError(a leaderAnswer) error {
	answer := a.answer.GetRenew()
	wasLagging := r.lagging
	r.lagging = answer.GetUpdate() == nil && answer.GetRevision() > r.agent.View().Revision()
	if !r.lagging {
		return nil
	}
	r.agent.members.moveOn(a.address)
	r.agent.watcher.leave(a.address)
	if !wasLagging {
		r.agent.log.WithField("revision", r.agent.View().Revision()).WithField("newest", answer.GetRevision()).WithField("control", a.address).
			Warn("control host does not have the newest view; asking another one")
	}
	return masticerror.New(masticerror.KindConflict, "the control host at %s does not have revision %d", a.address, answer.GetRevision())
}

func (r *renewer) evidence() []*masticproto.RolloutEvidence {
	if r.agent.evidence == nil {
		return nil
	}
	return r.agent.evidence()
}

func (r *renewer) applyAnswer(answer *masticproto.RenewAnswer) {
	r.holder.ApplyGrant(masticlease.Grant{
		ID:       answer.GetId(),
		Term:     answer.GetTerm(),
		Lifetime: time.Duration(answer.GetSpanUs()) * time.Microsecond,
		Revision: answer.GetRevision(),
	})
	r.agent.views.setLease(r.holder.ExpiresAt())
	r.agent.views.newestKnown.Store(answer.GetRevision())
	if s := answer.GetSuspects(); s != nil {
		r.agent.suspects.update(s)
	}
	r.logRefusal(answer)
	if answer.GetUpdate() == nil {
		return
	}
	if err := r.agent.views.updates.Offer(answer.GetUpdate()); err != nil {
		r.agent.log.WithError(err).Warn("view update was not queued; the next renewal delivers it again")
	}
}

// logRefusal logs the first refusal of a lease while this host serves the newest revision.
func (r *renewer) logRefusal(answer *masticproto.RenewAnswer) {
	refused := answer.GetSpanUs() == 0 && answer.GetUpdate() == nil
	if refused && !r.refused {
		r.agent.log.WithField("revision", answer.GetRevision()).Warn("no view lease is granted: the view does not name this host")
	}
	r.refused = refused
}

// logLease logs when the lease starts or ends.
func (r *renewer) logLease(now time.Time) {
	held := r.holder.Held(now)
	if held == r.leaseHeld {
		return
	}
	r.leaseHeld = held
	log := r.agent.log.WithField("term", r.holder.Term()).WithField("revision", r.agent.View().Revision())
	if held {
		log.Info("view lease held")
		return
	}
	log.Warn("view lease ended: keyed requests are refused")
}
