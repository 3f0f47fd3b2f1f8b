package masticbucket

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticview"
)

const (
	// minHosts is the number of entry hosts, live or not, from which keepers hold the quotas. With fewer, a
	// host's share of a rate holds whole requests while the owner of the quota is silent.
	minHosts = 9
	// maxKeepers is the number of hosts that keep buckets. Each host has a connection to each of them.
	maxKeepers = 8
	// parts is the number of keepers of one workspace. If one is lost, the others go on with theirs.
	parts = 3
)

// Host is a host that may keep buckets.
type Host struct{ Name, Peer string }

// Division names the keepers under one view. It is immutable; the nil Division has none.
type Division struct{ keepers []Host }

// NewDivision returns the division under a view with the given hosts, nil if there are too few. Keepers are
// chosen by rendezvous hashing of the live ones with at least half of their largest weight.
func NewDivision(hosts []masticview.Host) *Division {
	entries, most := 0, int64(0)
	var live []masticview.Host
	for _, h := range hosts {
		if h.Address == "" || h.Peer == "" || h.State == masticview.HostRetired {
			continue
		}
		entries++
		if h.State == masticview.HostLive {
			live = append(live, h)
			most = max(most, h.Weight)
		}
	}
	if entries < minHosts || len(live) == 0 {
		return nil
	}
	var candidates []Host
	for _, h := range live {
		if 2*h.Weight >= most {
			candidates = append(candidates, Host{h.Name, h.Peer})
		}
	}
	return &Division{keepers: ranked("", candidates, maxKeepers)}
}

// All returns the hosts that keep buckets.
func (d *Division) All() []Host {
	if d == nil {
		return nil
	}
	return d.keepers
}

// Keepers returns the hosts that keep the buckets of a workspace.
func (d *Division) Keepers(workspace string) []Host {
	if d == nil {
		return nil
	}
	return ranked(workspace, d.keepers, parts)
}

// substitutes returns the hosts that take the place of the keepers of a workspace when these have ended, the first one
// first.
func (d *Division) substitutes(workspace string) []Host {
	if d == nil {
		return nil
	}
	return ranked(workspace, d.keepers, len(d.keepers))[min(parts, len(d.keepers)):]
}

// keeps reports whether the host keeps a bucket of the workspace, and how many hosts do.
func (d *Division) keeps(host, workspace string) (bool, int) {
	keepers := d.Keepers(workspace)
	return slices.ContainsFunc(keepers, func(h Host) bool { return h.Name == host }), len(keepers)
}

// ranked returns the first n hosts in the order of rendezvous hashing for a key.
func ranked(key string, hosts []Host, n int) []Host {
	type scored struct {
		host  Host
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, scored{h, xxhash.Sum64String(key + "\x00" + h.Name)})
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
