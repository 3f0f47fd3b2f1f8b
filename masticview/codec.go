package masticview

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// ToProto returns w as a protobuf message.
func (w Workspace) ToProto() *masticproto.Workspace {
	return &masticproto.Workspace{
		Name: w.Name, Owner: w.Owner, RateTokensPerSecond: w.RateTokensPerSecond,
		BurstTokens: w.BurstTokens, Weight: w.Weight,
	}
}

// WorkspaceFromProto returns the workspace that p describes, without validating it.
func WorkspaceFromProto(p *masticproto.Workspace) Workspace {
	return Workspace{
		Name: p.GetName(), Owner: p.GetOwner(), RateTokensPerSecond: p.GetRateTokensPerSecond(),
		BurstTokens: p.GetBurstTokens(), Weight: p.GetWeight(),
	}
}

// ToProto returns p as a protobuf message, whose lists are those of p.
func (p Profile) ToProto() *masticproto.Profile {
	return &masticproto.Profile{
		Name: p.Name, Workspace: p.Workspace, Models: p.Models, Services: p.Services,
		Class: string(p.Class), FirstTokenMillis: p.FirstTokenMillis, MaxOutputTokens: p.MaxOutputTokens,
	}
}

// ProfileFromProto returns the profile that p describes, without validating it.
func ProfileFromProto(p *masticproto.Profile) Profile {
	return Profile{
		Name: p.GetName(), Workspace: p.GetWorkspace(), Models: p.GetModels(), Services: p.GetServices(),
		Class: Class(p.GetClass()), FirstTokenMillis: p.GetFirstTokenMillis(), MaxOutputTokens: p.GetMaxOutputTokens(),
	}
}

// ToProto returns k as a protobuf message.
func (k Key) ToProto() *masticproto.Key {
	return &masticproto.Key{
		Id: k.ID, Digest: k.Digest[:], Workspace: k.Workspace, Profile: k.Profile, State: string(k.State),
	}
}

// KeyFromProto returns the key that p describes. The error has kind badRequest if the digest has
// the wrong length.
func KeyFromProto(p *masticproto.Key) (Key, error) {
	d, err := DigestFromBytes(p.GetDigest())
	if err != nil {
		return Key{}, err
	}
	return Key{
		ID: p.GetId(), Digest: d, Workspace: p.GetWorkspace(), Profile: p.GetProfile(), State: KeyState(p.GetState()),
	}, nil
}

// ToProto returns h as a protobuf message.
func (h Host) ToProto() *masticproto.Host {
	return &masticproto.Host{
		Name: h.Name, Address: h.Address, Admin: h.Admin, Peer: h.Peer,
		Zone: h.Zone, Owner: h.Owner, Weight: h.Weight, State: string(h.State),
	}
}

// HostFromProto returns the host that p describes, without validating it.
func HostFromProto(p *masticproto.Host) Host {
	return Host{
		Name: p.GetName(), Address: p.GetAddress(), Admin: p.GetAdmin(), Peer: p.GetPeer(),
		Zone: p.GetZone(), Owner: p.GetOwner(), Weight: p.GetWeight(), State: HostState(p.GetState()),
	}
}

// ToProto returns s as a protobuf message, whose list of models is that of s.
func (s Server) ToProto() *masticproto.Server {
	return &masticproto.Server{
		Name: s.Name, Kind: string(s.Kind), Url: s.URL, Owner: s.Owner, Zone: s.Zone, Models: s.Models,
		WeightsVersion: s.WeightsVersion, ModelVersions: s.ModelVersions, LoadingModel: s.LoadingModel, ChecksFencing: s.ChecksFencing, State: string(s.State),
		Service: s.Service, Incarnation: s.Incarnation, Slots: s.Slots,
		StatedLeaving: s.StatedLeaving, Software: s.Software, StartedUnixMs: unixMs(s.StartedAt),
	}
}

// ServerFromProto returns the backend server that p describes, without validating it.
func ServerFromProto(p *masticproto.Server) Server {
	return Server{
		Name: p.GetName(), Kind: ServerKind(p.GetKind()), URL: p.GetUrl(), Owner: p.GetOwner(), Zone: p.GetZone(), Models: p.GetModels(),
		WeightsVersion: p.GetWeightsVersion(), ModelVersions: p.GetModelVersions(), LoadingModel: p.GetLoadingModel(), ChecksFencing: p.GetChecksFencing(), State: ServerState(p.GetState()),
		Service: p.GetService(), Incarnation: p.GetIncarnation(), Slots: p.GetSlots(),
		StatedLeaving: p.GetStatedLeaving(), Software: p.GetSoftware(), StartedAt: timeOfUnixMs(p.GetStartedUnixMs()),
	}
}

// unixMs returns t in milliseconds since 1970, zero for the zero time.
func unixMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// timeOfUnixMs is the inverse of unixMs.
func timeOfUnixMs(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// ToProto returns s as a protobuf message, whose list of servers is that of s.
func (s Service) ToProto() *masticproto.Service {
	return &masticproto.Service{Name: s.Name, Servers: s.Servers, Repeatable: s.Idempotent, Open: s.Open}
}

// ServiceFromProto returns the plain service that p describes, without validating it.
func ServiceFromProto(p *masticproto.Service) Service {
	return Service{Name: p.GetName(), Servers: p.GetServers(), Idempotent: p.GetRepeatable(), Open: p.GetOpen()}
}

// ToProto returns q as a protobuf message.
func (q Quarantine) ToProto() *masticproto.Quarantine {
	out := &masticproto.Quarantine{Digest: q.Digest[:], UntilUnixMs: q.Until.UnixMilli(), Servers: q.Servers}
	for _, d := range q.Company {
		out.Company = append(out.Company, d[:])
	}
	if !q.DecidedAt.IsZero() {
		out.DecidedUnixMs = q.DecidedAt.UnixMilli()
	}
	return out
}

// QuarantineFromProto returns the quarantine that p describes. The error has kind badRequest if a
// digest has the wrong length.
func QuarantineFromProto(p *masticproto.Quarantine) (Quarantine, error) {
	d, err := DigestFromBytes(p.GetDigest())
	if err != nil {
		return Quarantine{}, err
	}
	q := Quarantine{Digest: d, Until: time.UnixMilli(p.GetUntilUnixMs()), Servers: p.GetServers()}
	for _, b := range p.GetCompany() {
		c, err := DigestFromBytes(b)
		if err != nil {
			return Quarantine{}, err
		}
		q.Company = append(q.Company, c)
	}
	if ms := p.GetDecidedUnixMs(); ms != 0 {
		q.DecidedAt = time.UnixMilli(ms)
	}
	return q, nil
}

// DigestFromBytes returns b as a digest. The error has kind badRequest if b has the wrong length.
func DigestFromBytes(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return d, masticerror.New(masticerror.KindBadRequest, "a digest has %d bytes, not %d", len(d), len(b))
	}
	copy(d[:], b)
	return d, nil
}
