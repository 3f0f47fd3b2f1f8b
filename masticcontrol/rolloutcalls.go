package masticcontrol

import "masticladder/masticproto"

// readRollout answers with the last rollout of a service. The leader's lease was checked after the call arrived, so
// that no newer one was acknowledged before the call.
func (l *loop) readRollout(c *call, q *masticproto.RolloutRequest) {
	answer := &masticproto.RolloutAnswer{}
	if r, ordered := l.state.View().Rollout(q.GetService()); ordered {
		answer.Rollout = r.ToProto()
	}
	c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Rollout{Rollout: answer}})
}
