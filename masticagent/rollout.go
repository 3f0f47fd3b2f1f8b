package masticagent

import (
	"context"
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// OrderRollout commits the order to move the traffic of a service to servers of a software version within span. An
// order that was accepted before is accepted again. Errors: conflict while another version is rolled out, badRequest,
// noQuorum, outcomeUnknown.
func (a *Agent) OrderRollout(ctx context.Context, service, target string, span time.Duration) error {
	command := &masticproto.Command{Kind: &masticproto.Command_OrderRollout{OrderRollout: &masticproto.OrderRollout{
		Service: service, Target: target, DeadlineMs: span.Milliseconds(),
	}}}
	_, err := a.commit(ctx, command, a.attemptTimeout)
	return err
}

// ReadRollout returns the last rollout of a service. The leader confirms that it is the newest before it answers. The
// error has kind notFound if none was ordered.
func (a *Agent) ReadRollout(ctx context.Context, service string) (masticview.Rollout, error) {
	q := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Rollout{Rollout: &masticproto.RolloutRequest{Service: service}}}
	answer, err := a.leader.call(ctx, q, a.attemptTimeout)
	if err != nil {
		return masticview.Rollout{}, err
	}
	p := answer.answer.GetRollout().GetRollout()
	if p == nil {
		return masticview.Rollout{}, masticerror.New(masticerror.KindNotFound, "no rollout of %.64q was ordered", service)
	}
	return masticview.RolloutFromProto(p), nil
}
