package masticagent

import (
	"time"

	"masticladder/masticproto"
	"masticladder/masticquota"
)

func quotaDemand(r masticquota.GrantRequest) *masticproto.QuotaDemand {
	return &masticproto.QuotaDemand{
		Id:          r.ID,
		Host:        r.Host,
		Incarnation: r.Incarnation,
		Workspace:   r.Workspace,
		NeedTokens:  r.NeedTokens,
		WantTokens:  r.WantTokens,
		PatienceUs:  r.MaxWait.Microseconds(),
		Reports:     quotaReports(r.Reports),
	}
}

func quotaReports(list []masticquota.GrantReport) []*masticproto.QuotaReport {
	out := make([]*masticproto.QuotaReport, len(list))
	for i, r := range list {
		out[i] = &masticproto.QuotaReport{
			Grant:          r.GrantID,
			Term:           r.Term,
			ReturnedTokens: r.ReturnedTokens,
			SettledTokens:  r.SettledTokens,
		}
	}
	return out
}

func quotaReturns(reports map[string][]masticquota.GrantReport) *masticproto.QuotaRequest {
	q := &masticproto.QuotaRequest{}
	for workspace, list := range reports {
		q.Returns = append(q.Returns, &masticproto.QuotaReturn{Workspace: workspace, Reports: quotaReports(list)})
	}
	return q
}

func grantAnswer(g *masticproto.QuotaGrant) masticquota.GrantAnswer {
	return masticquota.GrantAnswer{
		ID:             g.GetId(),
		Term:           g.GetTerm(),
		Workspace:      g.GetWorkspace(),
		GrantID:        g.GetGrant(),
		Tokens:         g.GetTokens(),
		Lifetime:       time.Duration(g.GetSpanUs()) * time.Microsecond,
		RetryAfter:     time.Duration(g.GetRetryAfterUs()) * time.Microsecond,
		NeverGrantable: g.GetNever(),
	}
}
