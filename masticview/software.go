package masticview

import (
	"maps"
	"slices"
	"time"

	"masticladder/masticproto"
)

// BaseSoftware returns the base version of a service: the software version whose streams need no record, so
// that a stream without one was begun by it. It stays the same until the service has had no server of that
// version for some time. It reports false for a service that never had a server.
func (v View) BaseSoftware(service string) (string, bool) { return v.baseSoftware.get(service) }

// WithBaseSoftware returns a copy with the given base version of a service.
func (v View) WithBaseSoftware(service, version string) View {
	v.baseSoftware = v.baseSoftware.with(service, version)
	return v
}

// TakeUpTime returns the longest time for which the document lets callers take up a stream, zero if it does not.
func (v View) TakeUpTime() time.Duration {
	longest := time.Duration(0)
	for _, r := range v.Document().GetRoutes() {
		if r.GetResumable() {
			longest = max(longest, time.Duration(r.GetTimeoutMs())*time.Millisecond)
		}
	}
	return longest
}

// SoftwareVersions returns the number of servers of each software version, by service. Retired servers do not
// count.
func (v View) SoftwareVersions() map[string]map[string]int {
	return softwareVersions(v.servers.values())
}

func softwareVersions(servers []Server) map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, s := range servers {
		if s.State == ServerRetired || s.Service == "" {
			continue
		}
		if out[s.Service] == nil {
			out[s.Service] = map[string]int{}
		}
		out[s.Service][s.Software]++
	}
	return out
}

// MostUsedSoftware returns the version with the most servers, the first by name among equals.
func MostUsedSoftware(servers map[string]int) string {
	best := ""
	for i, version := range slices.Sorted(maps.Keys(servers)) {
		if i == 0 || servers[version] > servers[best] {
			best = version
		}
	}
	return best
}

// putBaseSoftware replaces base versions and chooses those of new services.
func (d *draft) putBaseSoftware(c *masticproto.ViewChange) {
	for _, p := range c.GetBaseSoftware() {
		d.baseSoftware.put(p.GetService(), p.GetVersion())
	}
	var versions map[string]map[string]int
	for _, p := range c.GetServers() {
		if _, known := d.baseSoftware.get(p.GetService()); known || p.GetService() == "" {
			continue
		}
		if versions == nil {
			versions = softwareVersions(d.servers.values())
		}
		if servers, ok := versions[p.GetService()]; ok {
			d.baseSoftware.put(p.GetService(), MostUsedSoftware(servers))
		}
	}
}

func (v View) baseSoftwareToProto() []*masticproto.BaseSoftware {
	var out []*masticproto.BaseSoftware
	all := map[string]string{}
	if v.baseSoftware.shards != nil {
		for _, m := range v.baseSoftware.shards {
			maps.Copy(all, m)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(all)) {
		out = append(out, &masticproto.BaseSoftware{Service: service, Version: all[service]})
	}
	return out
}

// checkBaseSoftware refuses to replace a base version that still has servers: their streams have no record.
func checkBaseSoftware(v, next View, changed []*masticproto.BaseSoftware) error {
	if len(changed) == 0 {
		return nil
	}
	versions := next.SoftwareVersions()
	for _, p := range changed {
		if p.GetService() == "" || len(p.GetService()) > MaxNameBytes || len(p.GetVersion()) > MaxNameBytes {
			return badRequestf("a base version needs a service with a name of 1 to %d bytes", MaxNameBytes)
		}
		old, ok := v.BaseSoftware(p.GetService())
		if ok && old != p.GetVersion() && versions[p.GetService()][old] > 0 {
			return badRequestf("service %q still has servers with software %q", p.GetService(), old)
		}
	}
	return nil
}
