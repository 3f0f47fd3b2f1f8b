// Package masticview holds the configuration that every host serves from: an
// immutable value with a revision that only grows.
package masticview

import (
	"cmp"
	"maps"
	"slices"
)

// View is one revision of the configuration. The zero View is empty and ready to use.
// All methods return copies; a View never changes.
type View struct {
	revision   uint64
	workspaces map[string]Workspace
	profiles   map[string]Profile
	keys       map[string]Key
	digests    map[Digest]string
	hosts      map[string]Host
	servers    map[string]Server
	services   map[string]Service
	quarantine map[Digest]Quarantine
}

// Revision returns the view's revision.
func (v View) Revision() uint64 { return v.revision }

// WithRevision returns a copy at revision r.
func (v View) WithRevision(r uint64) View {
	v.revision = r
	return v
}

// WithWorkspace returns a copy that holds w under its name.
func (v View) WithWorkspace(w Workspace) View {
	v.workspaces = with(v.workspaces, w.Name, w)
	return v
}

// WithProfile returns a copy that holds p under its name.
func (v View) WithProfile(p Profile) View {
	v.profiles = with(v.profiles, p.Name, p)
	return v
}

// WithKey returns a copy that holds k under its identifier and digest.
func (v View) WithKey(k Key) View {
	v.keys = with(v.keys, k.ID, k)
	v.digests = with(v.digests, k.Digest, k.ID)
	return v
}

// WithHost returns a copy that holds h under its name.
func (v View) WithHost(h Host) View {
	v.hosts = with(v.hosts, h.Name, h)
	return v
}

// WithServer returns a copy that holds s under its name.
func (v View) WithServer(s Server) View {
	v.servers = with(v.servers, s.Name, s)
	return v
}

// WithService returns a copy that holds s under its name.
func (v View) WithService(s Service) View {
	v.services = with(v.services, s.Name, s)
	return v
}

// WithQuarantine returns a copy that holds q under its digest.
func (v View) WithQuarantine(q Quarantine) View {
	v.quarantine = with(v.quarantine, q.Digest, q)
	return v
}

// WithoutQuarantine returns a copy without the quarantine of digest d.
func (v View) WithoutQuarantine(d Digest) View {
	v.quarantine = without(v.quarantine, d)
	return v
}

// Workspace returns the workspace called name.
func (v View) Workspace(name string) (Workspace, bool) { return get(v.workspaces, name) }

// Profile returns the profile called name.
func (v View) Profile(name string) (Profile, bool) { return get(v.profiles, name) }

// Key returns the key with identifier id.
func (v View) Key(id string) (Key, bool) { return get(v.keys, id) }

// KeyByDigest returns the key whose secret has digest d, in any state.
func (v View) KeyByDigest(d Digest) (Key, bool) {
	id, ok := v.digests[d]
	if !ok {
		return Key{}, false
	}
	return v.Key(id)
}

// Host returns the host called name.
func (v View) Host(name string) (Host, bool) { return get(v.hosts, name) }

// Server returns the backend server called name.
func (v View) Server(name string) (Server, bool) { return get(v.servers, name) }

// Service returns the plain service called name.
func (v View) Service(name string) (Service, bool) { return get(v.services, name) }

// Quarantine returns the quarantine of request digest d.
func (v View) Quarantine(d Digest) (Quarantine, bool) { return get(v.quarantine, d) }

// Workspaces returns all workspaces in the order of their names.
func (v View) Workspaces() []Workspace { return sorted(v.workspaces) }

// Profiles returns all profiles in the order of their names.
func (v View) Profiles() []Profile { return sorted(v.profiles) }

// Keys returns all keys in the order of their identifiers.
func (v View) Keys() []Key { return sorted(v.keys) }

// Hosts returns all hosts in the order of their names.
func (v View) Hosts() []Host { return sorted(v.hosts) }

// Servers returns all backend servers in the order of their names.
func (v View) Servers() []Server { return sorted(v.servers) }

// Services returns all plain services in the order of their names.
func (v View) Services() []Service { return sorted(v.services) }

// Quarantines returns all quarantines in the order of their digests.
func (v View) Quarantines() []Quarantine {
	return slices.SortedFunc(maps.Values(v.quarantine), func(a, b Quarantine) int {
		return slices.Compare(a.Digest[:], b.Digest[:])
	})
}

func get[K comparable, T any](m map[K]T, k K) (T, bool) {
	t, ok := m[k]
	return t, ok
}

func with[K comparable, T any](m map[K]T, k K, t T) map[K]T {
	out := make(map[K]T, len(m)+1)
	maps.Copy(out, m)
	out[k] = t
	return out
}

func without[K comparable, T any](m map[K]T, k K) map[K]T {
	out := maps.Clone(m)
	delete(out, k)
	return out
}

func sorted[K cmp.Ordered, T any](m map[K]T) []T {
	out := make([]T, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
