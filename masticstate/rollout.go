package masticstate

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// rolloutResendWindow is the time within which an order of the version that was rolled back is the same order, sent
// again. Operators resend an order for 5 s or less; a command may wait for an election on top.
const rolloutResendWindow = 10 * time.Second

// orderRollout accepts the order of a rollout. The order of the version that is being rolled out, or was, is the same
// order sent again; the order of another one while a rollout runs is a conflict.
func (s *State) orderRollout(p *masticproto.OrderRollout) RolloutResult {
	span := time.Duration(p.GetDeadlineMs()) * time.Millisecond
	if p.GetTarget() == "" || len(p.GetTarget()) > masticview.MaxNameBytes || p.GetDeadlineMs() <= 0 || p.GetDeadlineMs() > masticview.MaxRolloutSpan.Milliseconds() {
		return RolloutResult{Err: masticerror.New(masticerror.KindBadRequest, "a rollout needs a target version and a deadline of at most %v", masticview.MaxRolloutSpan)}
	}
	last, ordered := s.view.Rollout(p.GetService())
	same := ordered && last.Target == p.GetTarget()
	if same && (last.Step != masticview.RolloutRolledBack || s.now.Sub(last.OrderedAt) < rolloutResendWindow) {
		return RolloutResult{Repeated: true, Rollout: last}
	}
	if !hasService(s.view, p.GetService()) {
		return RolloutResult{Rollout: last, Err: masticerror.New(masticerror.KindBadRequest, "there is no service %.64q", p.GetService())}
	}
	if ordered && !last.Step.Final() {
		return RolloutResult{Rollout: last, Err: masticerror.New(masticerror.KindConflict, "the rollout of %q to version %q is running", last.Service, last.Target)}
	}
	next := masticview.Rollout{
		Service: p.GetService(), Target: p.GetTarget(), OrderedAt: s.now, Deadline: s.now.Add(span), Step: masticview.RolloutWait,
		StepAt: s.now, Reason: "ordered", Sequence: last.Sequence + 1, FirstSequence: last.Sequence + 1,
	}
	if err := s.applyChange(&masticproto.ViewChange{Rollouts: []*masticproto.Rollout{next.ToProto()}}); err != nil {
		return RolloutResult{Rollout: last, Err: err}
	}
	return RolloutResult{Rollout: next}
}

// hasService reports whether the document names a pool of servers, or a server is listed for it.
func hasService(v masticview.View, service string) bool {
	for _, p := range v.Document().GetPools() {
		if p.GetName() == service {
			return p.GetStore() == ""
		}
	}
	_, served := v.SoftwareVersions()[service]
	return v.Document() == nil && served
}

// stepRollout takes the next step of a running rollout, unless another one was taken since it was decided.
func (s *State) stepRollout(p *masticproto.StepRollout) RolloutResult {
	next := masticview.RolloutFromProto(p.GetNext())
	last, ordered := s.view.Rollout(next.Service)
	if !ordered || last.Step.Final() || last.Sequence != p.GetExpected() {
		return RolloutResult{Rollout: last, Err: masticerror.New(masticerror.KindConflict, "the step of %.64q does not follow the current one", next.Service)}
	}
	next = last.WithStep(s.now, next.Step, next.Share, next.Focus, next.Reason).WithAllowance(next.Allowance)
	if err := s.applyChange(&masticproto.ViewChange{Rollouts: []*masticproto.Rollout{next.ToProto()}}); err != nil {
		return RolloutResult{Rollout: last, Err: err}
	}
	return RolloutResult{Rollout: next}
}
