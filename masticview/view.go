// Package masticview defines the replicated configuration of the hosts as an immutable value with
// a monotonically increasing revision.
package masticview

import (
	"slices"

	"masticladder/masticproto"
)

// View is one revision of the configuration. The zero View is empty and ready to use.
// A View is immutable: methods that change something return a copy.
type View struct {
	revision    uint64
	workspaces  table[string, Workspace]
	profiles    table[string, Profile]
	keys        table[string, Key]
	digests     table[Digest, string]
	hosts       table[string, Host]
	servers     table[string, Server]
	services    table[string, Service]
	quarantines table[Digest, Quarantine]
	weights     table[string, Weights]
	document    *masticproto.Document
	sharing     cacheSharing
	// baseSoftware is by service.
	baseSoftware table[string, string]
	// rollouts is by service.
	rollouts table[string, Rollout]
}

// Revision returns the view's revision; it is zero for the zero View.
func (v View) Revision() uint64 { return v.revision }

// WithRevision returns a copy at revision r.
func (v View) WithRevision(r uint64) View {
	v.revision = r
	return v
}

// WithWorkspace returns a copy that contains w under its name.
func (v View) WithWorkspace(w Workspace) View {
	v.workspaces = v.workspaces.with(w.Name, w)
	return v
}

// WithProfile returns a copy that contains p under its name.
func (v View) WithProfile(p Profile) View {
	v.profiles = v.profiles.with(p.Name, p)
	return v
}

// WithKey returns a copy that contains k under its identifier and digest.
func (v View) WithKey(k Key) View {
	v.keys = v.keys.with(k.ID, k)
	v.digests = v.digests.with(k.Digest, k.ID)
	return v
}

// WithHost returns a copy that contains h under its name.
func (v View) WithHost(h Host) View {
	v.hosts = v.hosts.with(h.Name, h)
	return v
}

// WithServer returns a copy that contains s under its name.
func (v View) WithServer(s Server) View {
	v.servers = v.servers.with(s.Name, s)
	return v
}

// WithService returns a copy that contains s under its name.
func (v View) WithService(s Service) View {
	v.services = v.services.with(s.Name, s)
	return v
}

// WithQuarantine returns a copy that contains q under its digest.
func (v View) WithQuarantine(q Quarantine) View {
	v.quarantines = v.quarantines.with(q.Digest, q)
	return v
}

// WithoutQuarantine returns a copy without the quarantine of digest d.
func (v View) WithoutQuarantine(d Digest) View {
	e := newTableEdit(v.quarantines)
	e.remove(d)
	v.quarantines = e.table
	return v
}

// Document returns the numbered document, or nil. The caller must not change it.
func (v View) Document() *masticproto.Document { return v.document }

// Weights returns the newest version of a model's weights that an operator named, and false if there
// is none.
func (v View) Weights(model string) (Weights, bool) { return v.weights.get(model) }

// Workspace returns the workspace called name, and false if there is none.
func (v View) Workspace(name string) (Workspace, bool) { return v.workspaces.get(name) }

// Profile returns the profile called name, and false if there is none.
func (v View) Profile(name string) (Profile, bool) { return v.profiles.get(name) }

// Key returns the key with identifier id, and false if there is none.
func (v View) Key(id string) (Key, bool) { return v.keys.get(id) }

// KeyByDigest returns the key whose secret has digest d, in any state, and false if
// there is none.
func (v View) KeyByDigest(d Digest) (Key, bool) {
	id, ok := v.digests.get(d)
	if !ok {
		return Key{}, false
	}
	return v.Key(id)
}

// Host returns the host called name, and false if there is none.
func (v View) Host(name string) (Host, bool) { return v.hosts.get(name) }

// Server returns the backend server called name, and false if there is none.
func (v View) Server(name string) (Server, bool) { return v.servers.get(name) }

// Service returns the plain service called name, and false if there is none.
func (v View) Service(name string) (Service, bool) { return v.services.get(name) }

// Quarantine returns the quarantine of requests whose content has digest d, and false if there is
// none. A quarantine is also returned after it has ended, until it is removed.
func (v View) Quarantine(d Digest) (Quarantine, bool) { return v.quarantines.get(d) }

// Workspaces returns all workspaces in the order of their names.
func (v View) Workspaces() []Workspace {
	return sorted(v.workspaces, func(i Workspace) string { return i.Name })
}

// Profiles returns all profiles in the order of their names.
func (v View) Profiles() []Profile {
	return sorted(v.profiles, func(i Profile) string { return i.Name })
}

// Keys returns all keys in the order of their identifiers.
func (v View) Keys() []Key { return sorted(v.keys, func(i Key) string { return i.ID }) }

// HostCount returns the number of hosts.
func (v View) HostCount() int { return v.hosts.count }

// Hosts returns all hosts in the order of their names.
func (v View) Hosts() []Host { return sorted(v.hosts, func(i Host) string { return i.Name }) }

// Servers returns all backend servers in the order of their names.
func (v View) Servers() []Server { return sorted(v.servers, func(i Server) string { return i.Name }) }

// Services returns all plain services in the order of their names.
func (v View) Services() []Service {
	return sorted(v.services, func(i Service) string { return i.Name })
}

// AllWeights returns the newest named version of each model's weights, in the order of the models.
func (v View) AllWeights() []Weights {
	return sorted(v.weights, func(i Weights) string { return i.Model })
}

// Quarantines returns all quarantines in the order of their digests.
func (v View) Quarantines() []Quarantine {
	out := v.quarantines.values()
	slices.SortFunc(out, func(a, b Quarantine) int {
		return slices.Compare(a.Digest[:], b.Digest[:])
	})
	return out
}
