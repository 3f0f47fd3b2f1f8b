package masticevents

import (
	"github.com/cespare/xxhash/v2"

	"masticladder/masticshard"
	"masticladder/masticview"
)

// Server is an engine or a store whose events are read.
type Server struct {
	Name, URL string
	// Store reports that it is a store, which has no name in the list of backend servers.
	Store bool
}

// assigned returns the servers that host reads: on a site with shards those of the shards that it coordinates,
// and all stores if it coordinates any; else those for which it is the first of the live entry hosts by
// rendezvous hashing.
func assigned(host string, v masticview.View, shards *masticshard.Map) map[string]Server {
	out := map[string]Server{}
	readable := map[string]bool{}
	for _, p := range v.Document().GetPools() {
		readable[p.GetName()] = p.GetMaxInFlight() > 0
	}
	hosts := entryHosts(v)
	for _, s := range v.Servers() {
		if s.Kind != masticview.ServerEngine || !readable[s.Service] || s.State != masticview.ServerActive && s.State != masticview.ServerLoading {
			continue
		}
		if reads(host, hosts, s, shards) {
			out[s.Name] = Server{Name: s.Name, URL: s.URL}
		}
	}
	for _, p := range v.Document().GetPools() {
		if p.GetStore() == "" || !readable[p.GetName()] {
			continue
		}
		if shards == nil && first(hosts, p.GetStore()) == host || shards != nil && len(out) > 0 {
			out[p.GetStore()] = Server{Name: p.GetStore(), URL: "http://" + p.GetStore(), Store: true}
		}
	}
	return out
}

// reads reports whether host reads the events of an engine.
func reads(host string, hosts []string, s masticview.Server, shards *masticshard.Map) bool {
	if shards == nil {
		return first(hosts, s.Name) == host
	}
	for _, m := range s.Models {
		pool := masticview.PoolModel(s.Service, m)
		number := masticshard.Of(s.Name, shards.Shards(pool))
		for _, shard := range shards.Rank(pool, 0) {
			if shard.Number == number && len(shard.Coordinators) > 0 && shard.Coordinators[0].Name == host {
				return true
			}
		}
	}
	return false
}

func entryHosts(v masticview.View) []string {
	var out []string
	for _, h := range v.Hosts() {
		if h.Address != "" && h.Peer != "" && h.State == masticview.HostLive {
			out = append(out, h.Name)
		}
	}
	return out
}

// first returns the host with the highest hash for a server.
func first(hosts []string, server string) string {
	best, bestHash := "", uint64(0)
	for _, h := range hosts {
		if x := xxhash.Sum64String(server + "\x00" + h); best == "" || x > bestHash {
			best, bestHash = h, x
		}
	}
	return best
}
