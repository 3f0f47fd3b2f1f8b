package masticshard

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticbucket"
	"masticladder/masticview"
)

// roles are the hosts that may coordinate shards, and what they have to carry.
type roles struct {
	// strong are the live hosts with at least half of the largest weight: coordinating takes processor time
	// in addition to that for callers.
	strong []masticview.Host
	// keepers are the names of the hosts that keep quotas.
	keepers map[string]bool
	// load is the weight of all entry hosts as a multiple of the largest one. Lost hosts count, because
	// their callers go to the others.
	load float64
}

func newRoles(all, live []masticview.Host) roles {
	r := roles{keepers: map[string]bool{}}
	var most, total int64
	for _, h := range live {
		most = max(most, h.Weight)
	}
	for _, h := range live {
		if 2*h.Weight >= most {
			r.strong = append(r.strong, h)
		}
	}
	for _, h := range all {
		if h.Address != "" && h.Peer != "" && h.State != masticview.HostRetired {
			total += max(1, h.Weight)
		}
	}
	r.load = float64(total) / float64(max(1, most))
	for _, h := range masticbucket.NewDivision(all).All() {
		r.keepers[h.Name] = true
	}
	return r
}

// shards returns the number of shards of a pool with the given number of engines.
func (r roles) shards(engines int) int {
	carried := int(r.load/weightPerCoordinator) + 1
	return max(1, min(carried, engines/enginesPerShard, len(r.strong), maxShards))
}

// fingerprint returns a hash of all that the coordinators depend on. The order of hosts does not matter.
func (r roles) fingerprint() uint64 {
	sum := uint64(int(r.load/weightPerCoordinator)) * hashPrime
	for _, h := range r.strong {
		x := xxhash.Sum64String(h.Name)*hashPrime ^ xxhash.Sum64String(h.Peer)
		if r.keepers[h.Name] {
			x ^= hashPrime
		}
		sum += x * hashPrime
	}
	return sum
}

// setCoordinators ranks the coordinators of all shards of all pools. The first one of each shard is a host
// without another role while there are such, then a keeper of quotas, then the coordinator of another shard.
// The others are preferably hosts without a role; they may be ranked for several shards.
func (r roles) setCoordinators(pools map[string][]Shard) {
	free, keepers := r.split()
	shards := sortedShards(pools)
	first := map[string]bool{}
	rest := assignFirst(shards, free, first)
	rest = assignFirst(rest, keepers, first)
	for _, s := range rest {
		s.shard.Coordinators = ranked(s.key, r.strong, maxCoordinators)
	}
	spare := withoutNames(free, first)
	taken := slices.Concat(withoutNames(keepers, first), withNames(r.strong, first))
	for _, s := range shards {
		s.addCoordinators(spare)
		s.addCoordinators(taken)
	}
}

// split returns the strong hosts that keep no quotas, and those that do.
func (r roles) split() (free, keepers []masticview.Host) {
	return withoutNames(r.strong, r.keepers), withNames(r.strong, r.keepers)
}

func withNames(hosts []masticview.Host, names map[string]bool) []masticview.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h masticview.Host) bool { return !names[h.Name] })
}

func withoutNames(hosts []masticview.Host, names map[string]bool) []masticview.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h masticview.Host) bool { return names[h.Name] })
}

// keyedShard is a shard with the key by which its coordinators are ranked.
type keyedShard struct {
	key   string
	shard *Shard
}

// addCoordinators adds hosts in the order of rendezvous hashing, up to maxCoordinators.
func (s keyedShard) addCoordinators(hosts []masticview.Host) {
	for _, h := range ranked(s.key, hosts, len(hosts)) {
		if len(s.shard.Coordinators) >= maxCoordinators {
			return
		}
		if !slices.Contains(s.shard.Coordinators, h) {
			s.shard.Coordinators = append(s.shard.Coordinators, h)
		}
	}
}

func sortedShards(pools map[string][]Shard) []keyedShard {
	var out []keyedShard
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		for i := range pools[pool] {
			out = append(out, keyedShard{pool + "\x00" + strconv.Itoa(i+1), &pools[pool][i]})
		}
	}
	return out
}

// assignFirst gives each shard a host of its own as its first coordinator, as long as there are any. It
// returns the shards without one. The pair with the highest score of rendezvous hashing is chosen first, so
// that the loss of a host moves its own shard and seldom another one.
func assignFirst(shards []keyedShard, hosts []masticview.Host, first map[string]bool) []keyedShard {
	type pair struct {
		shard, host int
		score       uint64
	}
	pairs := make([]pair, 0, len(shards)*len(hosts))
	for i, s := range shards {
		for j, h := range hosts {
			pairs = append(pairs, pair{i, j, score(s.key, h.Name)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(shards[a.shard].key, shards[b.shard].key), cmp.Compare(hosts[a.host].Name, hosts[b.host].Name))
	})
	for _, p := range pairs {
		s, h := shards[p.shard].shard, hosts[p.host]
		if len(s.Coordinators) > 0 || first[h.Name] {
			continue
		}
		s.Coordinators = []Host{{h.Name, h.Peer}}
		first[h.Name] = true
	}
	return slices.DeleteFunc(slices.Clone(shards), func(s keyedShard) bool { return len(s.shard.Coordinators) > 0 })
}

func score(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// ranked returns the first n hosts in the order of rendezvous hashing for a key.
func ranked(key string, hosts []masticview.Host, n int) []Host {
	type scored struct {
		host  Host
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, scored{Host{h.Name, h.Peer}, score(key, h.Name)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.Name, b.host.Name))
	})
	var out []Host
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.host)
	}
	return out
}
