package masticaddress

import (
	"math/rand/v2"

	"masticladder/masticview"
)

// leastNear is the number of hosts of a caller's own zone that suffice for it: with one
// alone, its loss would leave the callers of the zone without an address.
const leastNear = 2

// Near returns the live hosts of v that a caller in zone should use: those of its own zone,
// and the others where the zone has fewer than two. They come in random order by group.
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
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	if len(near) >= leastNear {
		return near
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}
