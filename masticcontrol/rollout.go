package masticcontrol

import (
	"time"

	"masticladder/masticproto"
	"masticladder/masticrollout"
	"masticladder/masticview"
)

const (
	// rolloutInterval is the time between two decisions on rollouts. Hosts report each 0.2 s.
	rolloutInterval = 100 * time.Millisecond
	// rolloutSilenceLeases is the number of lease lifetimes after which a host that is no longer listed as serving counts
	// as ended.
	rolloutSilenceLeases = 2
)

// WithRolloutBounds sets the bounds of the requests that a version gets before it is known to be good.
func WithRolloutBounds(b masticrollout.Bounds) Option {
	return func(s *settings) { s.rolloutBounds = b }
}

// rollouts are the leader's evidence of the running rollouts, by service.
type rollouts struct {
	evidence  map[string]*masticrollout.Evidence
	nextCheck time.Time
	// proposed is the highest sequence that this leader has proposed, by service.
	proposed map[string]uint64
}

func newRollouts() rollouts {
	return rollouts{evidence: map[string]*masticrollout.Evidence{}, proposed: map[string]uint64{}}
}

// recordEvidence adds what a host has counted.
func (d *leaderState) recordEvidence(now time.Time, r *masticproto.RenewRequest) {
	for _, p := range r.GetEvidence() {
		rollout, ordered := d.loop.state.View().Rollout(p.GetService())
		if ordered && !rollout.Step.Final() {
			d.evidenceOf(rollout).Add(now, r.GetHost(), r.GetIncarnation(), p)
		}
	}
}

func (d *leaderState) evidenceOf(r masticview.Rollout) *masticrollout.Evidence {
	e, ok := d.rollouts.evidence[r.Service]
	if !ok || e.FirstSequence() != r.FirstSequence {
		e = masticrollout.NewEvidence(r)
		d.rollouts.evidence[r.Service] = e
	}
	return e
}

// proposeRolloutSteps proposes the steps of rollouts that are due.
func (d *leaderState) proposeRolloutSteps(now time.Time) {
	if now.Before(d.rollouts.nextCheck) {
		return
	}
	d.rollouts.nextCheck = now.Add(rolloutInterval)
	view := d.loop.state.View()
	for _, r := range view.Rollouts() {
		if !r.Step.Final() {
			d.proposeRolloutStep(now, view, r)
		} else {
			delete(d.rollouts.evidence, r.Service)
		}
	}
}

func (d *leaderState) proposeRolloutStep(now time.Time, view masticview.View, r masticview.Rollout) {
	evidence, hosts := d.evidenceOf(r), servingHosts(view)
	s := masticrollout.Situation{
		Rollout: r, Servers: masticrollout.ServersOf(view, r), Evidence: evidence, Removed: isRemoved(view, r.Service),
		Heard:     evidence.Heard(hosts),
		Confirmed: evidence.Confirmed(now, r.Sequence, hosts, rolloutSilenceLeases*d.loop.viewLeaseLifetime),
	}
	decision := masticrollout.Decide(now, d.loop.rolloutBounds, s)
	if !decision.Changed || d.rollouts.proposed[r.Service] >= decision.Next.Sequence {
		return
	}
	_, _, err := d.loop.propose(now, &masticproto.Command{Kind: &masticproto.Command_StepRollout{StepRollout: &masticproto.StepRollout{
		Expected: r.Sequence, Next: decision.Next.ToProto(),
	}}})
	if err == nil {
		d.rollouts.proposed[r.Service] = decision.Next.Sequence
	}
	d.logRolloutStep(now, s, decision, err)
}

func (d *leaderState) logRolloutStep(now time.Time, s masticrollout.Situation, decision masticrollout.Decision, err error) {
	next, t, v := decision.Next, decision.Totals, decision.Verdict
	d.loop.log.WithField("service", next.Service).WithField("target", next.Target).WithField("sequence", next.Sequence).
		WithField("step", next.Step).WithField("former", s.Rollout.Step).WithField("reason", next.Reason).
		WithField("share", next.Share).WithField("allowance", next.Allowance).WithField("focus", next.Focus).
		WithField("requests", t.Requests).WithField("exposed", t.Exposed).WithField("answers", t.Answers).WithField("bad", t.Bad).
		WithField("otherAnswers", t.OtherAnswers).WithField("otherBad", t.OtherBad).WithField("runningOther", t.RunningOther).WithField("leftOut", t.LeftOut).
		WithField("evidenceAgeMillis", t.OldestAge.Milliseconds()).WithField("evidence", v.Evidence).WithField("suspect", v.Suspect).
		WithField("targets", len(s.Servers.Targets)).WithField("others", s.Servers.Others).
		WithField("leftMillis", next.Deadline.Sub(now).Milliseconds()).WithField("error", err).Info("rollout step")
}

// servingHosts returns the names of the hosts that serve callers.
func servingHosts(v masticview.View) []string {
	var names []string
	for _, h := range v.Hosts() {
		if h.Address != "" && (h.State == masticview.HostLive || h.State == masticview.HostLeaving) {
			names = append(names, h.Name)
		}
	}
	return names
}

// isRemoved reports whether the document no longer names the service.
func isRemoved(v masticview.View, service string) bool {
	for _, p := range v.Document().GetPools() {
		if p.GetName() == service {
			return false
		}
	}
	return v.Document() != nil
}
