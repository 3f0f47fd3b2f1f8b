package masticagent

import (
	"context"
	"math/rand/v2"
	"time"

	"masticladder/masticclock"
	"masticladder/masticlease"
	"masticladder/masticproto"
)

// renewer keeps the view lease: it acknowledges the revision of this host each
// interval and at once after an update.
type renewer struct {
	agent   *Agent
	kick    chan struct{}
	holder  *masticlease.Holder
	granted bool
	// refused reports that the leader has all this host has and still grants no lease.
	refused bool
}

func newRenewer(a *Agent) *renewer {
	return &renewer{agent: a, kick: make(chan struct{}, 1), holder: masticlease.NewHolder(a.host, a.incarnation)}
}

// soon makes the next renewal come at once.
func (r *renewer) soon() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *renewer) run(ctx context.Context) {
	defer r.agent.running.Done()
	for ctx.Err() == nil {
		pause := r.agent.renewInterval
		if err := r.renew(ctx); err != nil {
			pause = r.agent.retryPause
			r.agent.log.WithError(err).Debug("the view lease was not renewed")
		}
		r.logLease(masticclock.Now())
		r.wait(ctx, pause)
	}
}

// wait ends after the pause, with jitter towards the short side, or when kicked.
func (r *renewer) wait(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause - rand.N(pause/10+1))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.kick:
	case <-ctx.Done():
	}
}

// renew sends one renewal. The lease counts from before its sending.
func (r *renewer) renew(ctx context.Context) error {
	r.holder.SetRevision(r.agent.View().Revision())
	renewal := r.holder.Renewal(masticclock.Now())
	a, err := r.agent.leader.once(ctx, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Renew{Renew: &masticproto.RenewRequest{
		Id:          renewal.ID,
		Host:        renewal.Host,
		Incarnation: renewal.Incarnation,
		Revision:    renewal.Acknowledged,
		Suspects:    r.agent.suspects.fingerprint(),
	}}}, r.agent.renewTimeout)
	if err != nil {
		return err
	}
	r.agent.watcher.prefer(a.address)
	r.agent.views.heard(masticclock.Now())
	r.agent.leader.learn(a.answer.GetRenew().GetControl())
	r.take(a.answer.GetRenew())
	return nil
}

func (r *renewer) take(answer *masticproto.RenewAnswer) {
	r.holder.ApplyGrant(masticlease.Grant{
		ID:       answer.GetId(),
		Term:     answer.GetTerm(),
		Span:     time.Duration(answer.GetSpanUs()) * time.Microsecond,
		Revision: answer.GetRevision(),
	})
	r.agent.views.setLease(r.holder.ExpiresAt())
	if s := answer.GetSuspects(); s != nil {
		r.agent.suspects.replace(s)
	}
	r.logRefusal(answer)
	if answer.GetUpdate() == nil {
		return
	}
	if err := r.agent.views.updates.Offer(answer.GetUpdate()); err != nil {
		r.agent.log.WithError(err).Warn("a view update was not taken; the next renewal brings it again")
	}
}

// logRefusal logs when a lease is refused to a host that serves the newest revision.
func (r *renewer) logRefusal(answer *masticproto.RenewAnswer) {
	refused := answer.GetSpanUs() == 0 && answer.GetUpdate() == nil
	if refused && !r.refused {
		r.agent.log.WithField("revision", answer.GetRevision()).Warn("no view lease is granted: the view does not name this host")
	}
	r.refused = refused
}

// logLease logs when the lease begins or ends.
func (r *renewer) logLease(now time.Time) {
	held := r.holder.Held(now)
	if held == r.granted {
		return
	}
	r.granted = held
	log := r.agent.log.WithField("term", r.holder.Term()).WithField("revision", r.agent.View().Revision())
	if held {
		log.Info("view lease held")
		return
	}
	log.Warn("view lease ended: keyed requests are refused")
}
