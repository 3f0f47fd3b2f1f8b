package masticaddress

import (
	"math/rand/v2"

	"masticladder/masticview"
)

// minZoneHosts is the number of hosts of a caller's own zone that are enough without hosts of other
// zones. With only one, its loss would leave the callers of the zone without an address.
const minZoneHosts = 2

// HostsForZone returns the live hosts of v that a caller in zone should use: those of its own zone,
// and also those of the other zones if the zone has fewer than two. Callers choose at random from
// the returned hosts, so a host is left out of some results according to its weight.
func HostsForZone(v masticview.View, zone string) []masticview.Host {
	var local, remote []masticview.Host
	for _, h := range v.Hosts() {
		switch {
		case h.State != masticview.HostLive || h.Address == "":
		case h.Zone == zone:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	local = sampleByWeight(local)
	if len(local) >= minZoneHosts {
		return local
	}
	return append(local, sampleByWeight(remote)...)
}

// sampleByWeight returns hosts in random order. Each is included with a probability of its weight
// divided by the highest weight, but at least minZoneHosts are included if there are as many.
func sampleByWeight(hosts []masticview.Host) []masticview.Host {
	maxWeight := int64(1)
	for _, h := range hosts {
		maxWeight = max(maxWeight, h.Weight)
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var included, excluded []masticview.Host
	for _, h := range hosts {
		if rand.Int64N(maxWeight) < max(1, h.Weight) {
			included = append(included, h)
			continue
		}
		excluded = append(excluded, h)
	}
	for len(included) < minZoneHosts && len(excluded) > 0 {
		included, excluded = append(included, excluded[0]), excluded[1:]
	}
	return included
}
