package masticcontrol

import (
	"time"

	"masticladder/masticproto"
	"masticladder/masticquota"
)

// quota answers a host's demands for tokens. The owner grants only within the leader lease,
// which was checked at now.
func (d *leaderState) quota(now time.Time, c *call, q *masticproto.QuotaRequest) {
	for _, r := range q.GetReturns() {
		d.owner.ApplyReports(now, r.GetWorkspace(), grantReports(r.GetReports()))
	}
	answer := &masticproto.QuotaAnswer{}
	for _, r := range q.GetDemands() {
		g := d.owner.Grant(now, quotaRequest(r))
		d.loop.counters.recordGrant(g.Tokens)
		answer.Grants = append(answer.Grants, quotaGrant(g))
	}
	c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Quota{Quota: answer}})
}

func quotaRequest(r *masticproto.QuotaDemand) masticquota.GrantRequest {
	return masticquota.GrantRequest{
		ID:          r.GetId(),
		Host:        r.GetHost(),
		Incarnation: r.GetIncarnation(),
		Workspace:   r.GetWorkspace(),
		NeedTokens:  r.GetNeedTokens(),
		WantTokens:  r.GetWantTokens(),
		MaxWait:     time.Duration(r.GetPatienceUs()) * time.Microsecond,
		Reports:     grantReports(r.GetReports()),
	}
}

func grantReports(list []*masticproto.QuotaReport) []masticquota.GrantReport {
	out := make([]masticquota.GrantReport, len(list))
	for i, r := range list {
		out[i] = masticquota.GrantReport{
			GrantID:        r.GetGrant(),
			Term:           r.GetTerm(),
			ReturnedTokens: r.GetReturnedTokens(),
			SettledTokens:  r.GetSettledTokens(),
		}
	}
	return out
}

// quotaGrant converts an answer. It rounds the grant's lifetime down and the retry delay up, to
// microseconds.
func quotaGrant(a masticquota.GrantAnswer) *masticproto.QuotaGrant {
	return &masticproto.QuotaGrant{
		Id:           a.ID,
		Term:         a.Term,
		Workspace:    a.Workspace,
		Grant:        a.GrantID,
		Tokens:       a.Tokens,
		SpanUs:       a.Lifetime.Microseconds(),
		RetryAfterUs: (a.RetryAfter + time.Microsecond - 1).Microseconds(),
		Never:        a.NeverGrantable,
	}
}
