package masticview

import (
	"net/netip"
	"net/url"
	"slices"
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

func badRequestf(format string, args ...any) error {
	return masticerror.New(masticerror.KindBadRequest, format, args...)
}

// checkDistinct returns an error if c is empty, names an item twice or has a name of invalid length.
func checkDistinct(c *masticproto.ViewChange) error {
	errs := []error{
		checkNames("workspace", c.GetWorkspaces(), (*masticproto.Workspace).GetName),
		checkNames("profile", c.GetProfiles(), (*masticproto.Profile).GetName),
		checkNames("key", c.GetKeys(), (*masticproto.Key).GetId),
		checkNames("host", c.GetHosts(), (*masticproto.Host).GetName),
		checkNames("server", c.GetServers(), (*masticproto.Server).GetName),
		checkNames("service", c.GetServices(), (*masticproto.Service).GetName),
		checkNames("rollout", c.GetRollouts(), (*masticproto.Rollout).GetService),
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	if itemCount(c) == 0 {
		return badRequestf("the change is empty")
	}
	return nil
}

func itemCount(c *masticproto.ViewChange) int {
	n := len(c.GetWorkspaces()) + len(c.GetProfiles()) + len(c.GetKeys()) + len(c.GetHosts())
	n += len(c.GetServers()) + len(c.GetServices()) + len(c.GetQuarantines()) + len(c.GetEndedQuarantines())
	n += len(c.GetWeights()) + len(c.GetRemovedServers()) + len(c.GetBaseSoftware()) + len(c.GetRollouts())
	if c.GetDocument() != nil {
		n++
	}
	return n
}

func checkNames[P any](kind string, items []P, name func(P) string) error {
	seen := make(map[string]bool, len(items))
	for _, i := range items {
		n := name(i)
		if n == "" || len(n) > MaxNameBytes {
			return badRequestf("a %s needs a name of 1 to %d bytes", kind, MaxNameBytes)
		}
		if seen[n] {
			return badRequestf("%s %q stands twice in the change", kind, n)
		}
		seen[n] = true
	}
	return nil
}

// checkChange checks the items of c; v is the view before the change and next the view after it. It
// checks the values, that fixed fields did not change, and that referenced items exist.
func checkChange(v, next View, c *masticproto.ViewChange, at time.Time) error {
	for _, p := range c.GetWorkspaces() {
		if err := checkWorkspace(v, WorkspaceFromProto(p)); err != nil {
			return err
		}
	}
	for _, p := range c.GetProfiles() {
		if err := checkProfile(v, next, ProfileFromProto(p)); err != nil {
			return err
		}
	}
	for _, p := range c.GetKeys() {
		k, _ := next.Key(p.GetId())
		if err := checkKey(v, next, k); err != nil {
			return err
		}
	}
	for _, p := range c.GetServers() {
		if err := checkServer(v, ServerFromProto(p)); err != nil {
			return err
		}
	}
	for _, p := range c.GetServices() {
		if err := checkService(next, ServiceFromProto(p)); err != nil {
			return err
		}
	}
	if err := checkHosts(v, next, c.GetHosts()); err != nil {
		return err
	}
	if err := checkBaseSoftware(v, next, c.GetBaseSoftware()); err != nil {
		return err
	}
	if err := checkRollouts(v, next, c.GetRollouts()); err != nil {
		return err
	}
	return checkQuarantines(next, c.GetQuarantines(), at)
}

func checkWorkspace(v View, w Workspace) error {
	if w.Owner == "" {
		return badRequestf("workspace %q has no owner", w.Name)
	}
	if w.RateTokensPerSecond <= 0 || w.RateTokensPerSecond > MaxRateTokens {
		return badRequestf("workspace %q: the rate is not in 1 to %d", w.Name, int64(MaxRateTokens))
	}
	if w.BurstTokens <= 0 || w.BurstTokens > MaxRateTokens {
		return badRequestf("workspace %q: the burst is not in 1 to %d", w.Name, int64(MaxRateTokens))
	}
	if w.Weight < 0 {
		return badRequestf("workspace %q: the weight is negative", w.Name)
	}
	if old, ok := v.Workspace(w.Name); ok && old.Owner != w.Owner {
		return badRequestf("workspace %q belongs to %q, which does not change", w.Name, old.Owner)
	}
	return nil
}

func checkProfile(v, next View, p Profile) error {
	if _, ok := next.Workspace(p.Workspace); !ok {
		return badRequestf("profile %q: there is no workspace %q", p.Name, p.Workspace)
	}
	if old, ok := v.Profile(p.Name); ok && old.Workspace != p.Workspace {
		return badRequestf("profile %q belongs to workspace %q, which does not change", p.Name, old.Workspace)
	}
	if p.Class != ClassQuick && p.Class != ClassLong && p.Class != ClassBulk {
		return badRequestf("profile %q: there is no class %q", p.Name, p.Class)
	}
	if p.FirstTokenMillis <= 0 || p.MaxOutputTokens <= 0 || p.MaxOutputTokens > MaxRateTokens {
		return badRequestf("profile %q: its limits are not positive", p.Name)
	}
	if slices.Contains(p.Models, "") {
		return badRequestf("profile %q: a model without a name", p.Name)
	}
	for _, s := range p.Services {
		if _, ok := next.Service(s); !ok {
			return badRequestf("profile %q: there is no service %q", p.Name, s)
		}
	}
	return nil
}

func checkKey(v, next View, k Key) error {
	p, ok := next.Profile(k.Profile)
	if !ok {
		return badRequestf("key %q: there is no profile %q", k.ID, k.Profile)
	}
	if p.Workspace != k.Workspace {
		return badRequestf("key %q: profile %q is of workspace %q", k.ID, p.Name, p.Workspace)
	}
	if k.State != KeyActive && k.State != KeyWithdrawn {
		return badRequestf("key %q: there is no state %q", k.ID, k.State)
	}
	if id, _ := next.digests.get(k.Digest); id != k.ID {
		return badRequestf("key %q: another key has its digest", k.ID)
	}
	if id, ok := v.digests.get(k.Digest); ok && id != k.ID {
		return badRequestf("key %q: another key has its digest", k.ID)
	}
	old, ok := v.Key(k.ID)
	if !ok {
		return nil
	}
	if old.State == KeyWithdrawn && k.State != KeyWithdrawn {
		return badRequestf("key %q is withdrawn and stays so", k.ID)
	}
	if old.Digest != k.Digest || old.Workspace != k.Workspace {
		return badRequestf("key %q keeps its digest and workspace", k.ID)
	}
	return nil
}

// checkHosts checks the changed hosts against all others, not all pairs: while a large site starts, each of its
// hosts registers with a change of its own.
func checkHosts(v, next View, changed []*masticproto.Host) error {
	for _, p := range changed {
		h := HostFromProto(p)
		if err := checkHost(v, h); err != nil {
			return err
		}
		if other := hostAtAddressOf(next, h); other != "" {
			return badRequestf("hosts %q and %q have the same address", h.Name, other)
		}
	}
	return nil
}

// hostAtAddressOf returns another host that is not retired and has an address of h, the first one by its name, or
// the empty string.
func hostAtAddressOf(v View, h Host) string {
	if h.State == HostRetired {
		return ""
	}
	first := ""
	for other := range v.hosts.all() {
		if other.Name != h.Name && other.State != HostRetired && shareAddress(h, other) && (first == "" || other.Name < first) {
			first = other.Name
		}
	}
	return first
}

func shareAddress(a, b Host) bool {
	for _, x := range []string{a.Address, a.Admin, a.Peer} {
		if x != "" && (x == b.Address || x == b.Admin || x == b.Peer) {
			return true
		}
	}
	return false
}

func checkHost(v View, h Host) error {
	if !slices.Contains([]HostState{HostLive, HostLeaving, HostLost, HostRetired}, h.State) {
		return badRequestf("host %q: there is no state %q", h.Name, h.State)
	}
	if h.Zone == "" || h.Weight < 0 {
		return badRequestf("host %q: it needs a zone and a weight of zero or more", h.Name)
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return badRequestf("host %q: %q is not IP:port", h.Name, h.Address)
	}
	if old, ok := v.Host(h.Name); ok && old.State == HostRetired && h.State != HostRetired {
		return badRequestf("host %q is retired and stays so; use another name", h.Name)
	}
	return nil
}

// CheckServer returns the error with which a change that adds or replaces s would be refused, or nil.
func (v View) CheckServer(s Server) error {
	if s.Name == "" || len(s.Name) > MaxNameBytes {
		return badRequestf("a server needs a name of 1 to %d bytes", MaxNameBytes)
	}
	return checkServer(v, s)
}

func checkServer(v View, s Server) error {
	if s.Kind != ServerEngine && s.Kind != ServerService {
		return badRequestf("server %q: there is no kind %q", s.Name, s.Kind)
	}
	if !slices.Contains([]ServerState{ServerActive, ServerLoading, ServerLeaving, ServerRetired}, s.State) {
		return badRequestf("server %q: there is no state %q", s.Name, s.State)
	}
	if u, err := url.Parse(s.URL); err != nil || u.Scheme == "" || u.Host == "" {
		return badRequestf("server %q: %q is not a base address", s.Name, s.URL)
	}
	if n := len(s.ModelVersions); n > 0 && n != len(s.Models) {
		return badRequestf("server %q has %d models and %d versions of their weights", s.Name, len(s.Models), n)
	}
	if old, ok := v.Server(s.Name); ok && old.Kind != s.Kind {
		return badRequestf("server %q is of kind %q, which does not change", s.Name, old.Kind)
	}
	return nil
}

func checkService(next View, s Service) error {
	for _, n := range s.Servers {
		server, ok := next.Server(n)
		if !ok {
			return badRequestf("service %q: there is no server %q", s.Name, n)
		}
		if server.Kind != ServerService {
			return badRequestf("service %q: server %q is of kind %q", s.Name, n, server.Kind)
		}
	}
	return nil
}

func checkQuarantines(next View, changed []*masticproto.Quarantine, at time.Time) error {
	if next.quarantines.count > MaxQuarantines {
		return badRequestf("there are more than %d quarantines", MaxQuarantines)
	}
	for _, p := range changed {
		if !time.UnixMilli(p.GetUntilUnixMs()).After(at) {
			return badRequestf("a quarantine ends before it begins")
		}
	}
	return nil
}
