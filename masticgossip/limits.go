package masticgossip

import (
	"math"

	"masticladder/masticlimit"
	"masticladder/masticproto"
)

func encodeLimits(r masticlimit.Report) *masticproto.LimitReport {
	p := &masticproto.LimitReport{Host: r.Host}
	for _, s := range r.Statements {
		p.Statements = append(p.Statements, &masticproto.RateStatement{
			Server: s.Server, Incarnation: s.Incarnation, Version: s.Version, Limited: s.Limited, RequestsPerSecond: s.RequestsPerSecond,
		})
	}
	for _, d := range r.Demands {
		p.Demands = append(p.Demands, &masticproto.RateDemand{Server: d.Server, PerSecond: d.PerSecond, Held: d.Held, Returned: d.Returned})
	}
	for _, g := range r.Grants {
		p.Grants = append(p.Grants, &masticproto.RateGrant{Server: g.Server, Tokens: g.Tokens})
	}
	return p
}

// decodeLimits converts a report. It leaves out parts with values that no host sends.
func decodeLimits(p *masticproto.LimitReport) masticlimit.Report {
	r := masticlimit.Report{Host: p.GetHost()}
	for _, s := range p.GetStatements() {
		if isRate(s.GetRequestsPerSecond()) {
			r.Statements = append(r.Statements, masticlimit.Statement{
				Server: s.GetServer(), Incarnation: s.GetIncarnation(), Version: s.GetVersion(), Limited: s.GetLimited(), RequestsPerSecond: s.GetRequestsPerSecond(),
			})
		}
	}
	for _, d := range p.GetDemands() {
		if isRate(d.GetPerSecond()) && d.GetHeld() >= 0 && d.GetReturned() >= 0 {
			r.Demands = append(r.Demands, masticlimit.Demand{Server: d.GetServer(), PerSecond: d.GetPerSecond(), Held: d.GetHeld(), Returned: d.GetReturned()})
		}
	}
	for _, g := range p.GetGrants() {
		if g.GetTokens() > 0 {
			r.Grants = append(r.Grants, masticlimit.Grant{Server: g.GetServer(), Tokens: g.GetTokens()})
		}
	}
	return r
}

// isRate reports whether f is a rate: finite and not negative.
func isRate(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
