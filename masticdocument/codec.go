package masticdocument

import (
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// ToProto returns the wire form.
func (d Document) ToProto() *masticproto.Document {
	p := &masticproto.Document{
		Number: d.Number, ContentDigest: d.ContentDigest[:],
		Limits: &masticproto.RequestLimits{
			HeaderBytes: d.Limits.HeaderBytes, BodyBytes: d.Limits.BodyBytes,
			HeaderTimeoutMs: d.Limits.HeaderTimeout.Milliseconds(), IdleTimeoutMs: d.Limits.IdleTimeout.Milliseconds(),
		},
	}
	for _, r := range d.Routes {
		p.Routes = append(p.Routes, r.toProto())
	}
	for _, l := range d.Pools {
		p.Pools = append(p.Pools, &masticproto.Pool{
			Name: l.Name, Connections: l.Connections, Engine: l.Engine, Slots: l.Slots,
			CacheTokens: l.CacheTokens, Models: l.Models, Store: l.Store,
			TransferTokensPerSecond: l.TransferTokensPerSecond, Zone: l.Zone, HealthPath: l.HealthPath,
			MaxInFlight: l.MaxInFlight,
		})
	}
	for _, t := range d.Workspaces {
		p.Tenants = append(p.Tenants, t.toProto())
	}
	return p
}

func (r Route) toProto() *masticproto.Route {
	p := &masticproto.Route{
		Name: r.Name, Host: r.Hostname, Prefix: r.Prefix, Repeat: string(r.Repeat), Resumable: r.Resumable,
		TimeoutMs: r.Timeout.Milliseconds(), TargetMs: r.TargetLatency.Milliseconds(), GapMs: r.MaxEventGap.Milliseconds(),
		Priority: r.Priority, Attempts: r.Attempts, Open: r.Public,
	}
	for _, t := range r.Targets {
		p.Targets = append(p.Targets, &masticproto.RouteTarget{Pool: t.Pool, Weight: t.Weight})
	}
	return p
}

func (w Workspace) toProto() *masticproto.Tenant {
	p := &masticproto.Tenant{
		Name: w.Name, Priority: w.Priority, Isolated: w.Isolated,
		RateTokensPerSecond: w.RateTokensPerSecond, RateMilliTokensPerSecond: w.RateMilliTokensPerSecond, BurstTokens: w.BurstTokens, PlainTokens: w.DefaultTokens,
		CountsRequests: w.CountsRequests,
	}
	for _, k := range w.Keys {
		p.Keys = append(p.Keys, k[:])
	}
	return p
}

// FromProto returns the document encoded in p. Error: badRequest for a digest of the wrong
// length.
func FromProto(p *masticproto.Document) (Document, error) {
	l := p.GetLimits()
	d := Document{Number: p.GetNumber(), Limits: Limits{
		HeaderBytes: l.GetHeaderBytes(), BodyBytes: l.GetBodyBytes(),
		HeaderTimeout: millis(l.GetHeaderTimeoutMs()), IdleTimeout: millis(l.GetIdleTimeoutMs()),
	}}
	var err error
	if d.ContentDigest, err = masticview.DigestFromBytes(p.GetContentDigest()); err != nil {
		return d, err
	}
	for _, r := range p.GetRoutes() {
		d.Routes = append(d.Routes, routeFromProto(r))
	}
	for _, x := range p.GetPools() {
		d.Pools = append(d.Pools, Pool{
			Name: x.GetName(), Connections: x.GetConnections(), Engine: x.GetEngine(), Slots: x.GetSlots(),
			CacheTokens: x.GetCacheTokens(), Models: x.GetModels(), Store: x.GetStore(),
			TransferTokensPerSecond: x.GetTransferTokensPerSecond(), Zone: x.GetZone(), HealthPath: x.GetHealthPath(),
			MaxInFlight: x.GetMaxInFlight(),
		})
	}
	for _, x := range p.GetTenants() {
		t, err := workspaceFromProto(x)
		if err != nil {
			return d, err
		}
		d.Workspaces = append(d.Workspaces, t)
	}
	return d, nil
}

func routeFromProto(p *masticproto.Route) Route {
	r := Route{
		Name: p.GetName(), Hostname: p.GetHost(), Prefix: p.GetPrefix(), Repeat: RetryPolicy(p.GetRepeat()), Resumable: p.GetResumable(),
		Timeout: millis(p.GetTimeoutMs()), TargetLatency: millis(p.GetTargetMs()), MaxEventGap: millis(p.GetGapMs()),
		Priority: p.GetPriority(), Attempts: p.GetAttempts(), Public: p.GetOpen(),
	}
	for _, t := range p.GetTargets() {
		r.Targets = append(r.Targets, Target{Pool: t.GetPool(), Weight: t.GetWeight()})
	}
	return r
}

func workspaceFromProto(p *masticproto.Tenant) (Workspace, error) {
	w := Workspace{
		Name: p.GetName(), Priority: p.GetPriority(), Isolated: p.GetIsolated(),
		RateTokensPerSecond: p.GetRateTokensPerSecond(), RateMilliTokensPerSecond: p.GetRateMilliTokensPerSecond(), BurstTokens: p.GetBurstTokens(), DefaultTokens: p.GetPlainTokens(),
		CountsRequests: p.GetCountsRequests(),
	}
	for _, b := range p.GetKeys() {
		k, err := masticview.DigestFromBytes(b)
		if err != nil {
			return w, err
		}
		w.Keys = append(w.Keys, k)
	}
	return w, nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
