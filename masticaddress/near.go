package masticaddress

import (
	"math/rand/v2"

	"masticladder/masticview"
)

// leastNear is the number of hosts of a caller's own zone that suffice for it: with one
// alone, its loss would leave the callers of the zone without an address.
const leastNear = 2

// Near returns the live hosts of v that a caller in zone should use: those of its own zone,
// and the others where the zone has fewer than two. Callers choose among the hosts of an
// answer at random, so a host is left out of some answers by its weight.
func Near(v masticview.View, zone string) []masticview.Host {
	var near, far []masticview.Host
	for _, h := range v.Hosts() {
		switch {
		case h.State != masticview.HostLive || h.Address == "":
		case h.Zone == zone:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	near = byWeight(near)
	if len(near) >= leastNear {
		return near
	}
	return append(near, byWeight(far)...)
}

// byWeight returns hosts in random order, each with the likelihood of its weight beside the
// greatest, but at least as many as suffice.
func byWeight(hosts []masticview.Host) []masticview.Host {
	most := int64(1)
	for _, h := range hosts {
		most = max(most, h.Weight)
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var kept, left []masticview.Host
	for _, h := range hosts {
		if rand.Int64N(most) < max(1, h.Weight) {
			kept = append(kept, h)
			continue
		}
		left = append(left, h)
	}
	for len(kept) < leastNear && len(left) > 0 {
		kept, left = append(kept, left[0]), left[1:]
	}
	return kept
}
