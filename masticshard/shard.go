// Package masticshard divides the engines of each pool into shards and names the hosts that coordinate them. On a large site the coordinator of a shard assigns all prompts to its engines, so that
// it alone needs to know their load and cached prompts: the cost of a host does not grow with the
// number of hosts. All hosts with the same view find the same shards and coordinators without messages. The
// package performs no I/O.
package masticshard

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticview"
)

const (
	// minHosts is the number of entry hosts from which engines are divided into shards. Fewer hosts report
	// their work to each other, which costs each of them in proportion to their number.
	minHosts = 40
	// enginesPerShard is the least mean number of engines of a shard. A pool that loses a third of its
	// engines should keep its shards, so that it is below what hosts ask for on known sites.
	enginesPerShard = 4
	// maxShards is the largest number of shards of a pool. A host has a connection to one coordinator of
	// each shard.
	maxShards = 16
	// weightPerCoordinator is the weight of entry hosts whose requests one coordinator assigns, as a
	// multiple of its own. One coordinator for 40 times its weight gave no answers at a third of the peak
	// load; with 6 it uses a quarter of its processor time at the peak.
	weightPerCoordinator = 6
	// maxCoordinators is the number of hosts that are ranked as coordinators of a shard. The second takes
	// over from the first while that cannot be reached.
	maxCoordinators = 3
)

// Host is a host that may coordinate a shard.
type Host struct{ Name, Peer string }

// Shard is a part of the engines of a pool.
type Shard struct {
	// Number counts from 1.
	Number int
	// Engines is the number of engines in it.
	Engines int
	// Coordinators are the hosts that may coordinate the shard, the first choice first.
	Coordinators []Host
}

// Map is the division of all pools under one view. It is immutable. The nil Map has no shards.
type Map struct {
	fingerprint uint64
	pools       map[string][]Shard
}

// New returns the division under a view with the given hosts and servers, or previous if that still
// applies.
func New(all []masticview.Host, servers []masticview.Server, previous *Map) *Map {
	hosts := entryHosts(all)
	if len(hosts) < minHosts {
		return nil
	}
	r := newRoles(all, hosts)
	f := r.fingerprint() ^ fingerprint(servers)
	if previous != nil && previous.fingerprint == f {
		return previous
	}
	engines := enginesByPool(servers)
	m := &Map{fingerprint: f, pools: make(map[string][]Shard, len(engines))}
	for pool, names := range engines {
		m.pools[pool] = newShards(names, r.shards(len(names)))
	}
	r.setCoordinators(m.pools)
	return m
}

// Shards returns the number of shards of a pool, zero if it is not divided.
func (m *Map) Shards(pool string) int {
	if m == nil {
		return 0
	}
	return len(m.pools[pool])
}

// Coordinators returns the names of the first coordinators of all shards by pool.
func (m *Map) Coordinators() map[string][]string {
	if m == nil {
		return nil
	}
	out := make(map[string][]string, len(m.pools))
	for pool, shards := range m.pools {
		for _, s := range shards {
			out[pool] = append(out[pool], s.Coordinators[0].Name)
		}
	}
	return out
}

// Rank returns the shards of a pool in the order in which they are tried for a prompt with the given hash,
// each with a probability in proportion to its engines.
func (m *Map) Rank(pool string, prompt uint64) []Shard {
	if m == nil {
		return nil
	}
	out := slices.Clone(m.pools[pool])
	slices.SortFunc(out, func(a, b Shard) int { return cmp.Compare(a.distance(prompt), b.distance(prompt)) })
	return out
}

// distance is an exponentially distributed number with the number of engines as its rate: the shard with
// the smallest one is chosen in proportion to its engines (weighted rendezvous hashing).
func (s Shard) distance(prompt uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], prompt)
	binary.LittleEndian.PutUint64(b[8:], uint64(s.Number))
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / float64(max(1, s.Engines))
}

// Of returns the number of the shard of an engine in a pool with the given number of shards. A change of
// that number moves few engines.
func Of(engine string, shards int) int {
	best, bestHash := 0, uint64(0)
	for n := 1; n <= shards; n++ {
		if h := xxhash.Sum64String(engine + "\x00" + strconv.Itoa(n)); best == 0 || h > bestHash {
			best, bestHash = n, h
		}
	}
	return best
}

func newShards(engines []string, shards int) []Shard {
	out := make([]Shard, shards)
	for i := range out {
		out[i].Number = i + 1
	}
	for _, e := range engines {
		out[Of(e, len(out))-1].Engines++
	}
	return out
}

// entryHosts returns the live hosts that serve callers.
func entryHosts(all []masticview.Host) []masticview.Host {
	var out []masticview.Host
	for _, h := range all {
		if h.Address != "" && h.Peer != "" && h.State == masticview.HostLive {
			out = append(out, h)
		}
	}
	return out
}

// countsAsEngine reports whether s is an engine in service. One that loads weights is, so that a change of
// weights moves nothing.
func countsAsEngine(s masticview.Server) bool {
	return s.Kind == masticview.ServerEngine && s.Service != "" && (s.State == masticview.ServerActive || s.State == masticview.ServerLoading)
}

// enginesByPool returns the names of the engines in service by pool.
func enginesByPool(servers []masticview.Server) map[string][]string {
	out := map[string][]string{}
	for _, s := range servers {
		if !countsAsEngine(s) {
			continue
		}
		for _, model := range s.Models {
			pool := masticview.PoolModel(s.Service, model)
			out[pool] = append(out[pool], s.Name)
		}
	}
	return out
}

// fingerprint returns a hash of what the division depends on besides the hosts. The order of servers does
// not matter.
func fingerprint(servers []masticview.Server) uint64 {
	var sum uint64
	for _, s := range servers {
		if !countsAsEngine(s) {
			continue
		}
		x := xxhash.Sum64String(s.Name)*hashPrime ^ xxhash.Sum64String(s.Service)
		for _, model := range s.Models {
			x = x*hashPrime ^ xxhash.Sum64String(model)
		}
		sum += x * hashPrime
	}
	return sum
}

const hashPrime = 0x9e3779b97f4a7c15
