package masticroute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticcache"
)

// ringPoints is the number of points of one backend server on a ring.
const ringPoints = 24

// point is one position of a backend server on a ring.
type point struct {
	hash uint64
	slot masticcache.Slot
}

// ring is a consistent-hash ring: all hosts find the same few backend servers for a prefix
// without messages, and the removal of a backend server moves only its own prefixes.
type ring []point

// newRing returns the ring of the named backend servers.
func newRing(names map[masticcache.Slot]string) ring {
	r := make(ring, 0, len(names)*ringPoints)
	for slot, name := range names {
		h := xxhash.Sum64String(name)
		for i := range ringPoints {
			r = append(r, point{mix(h + uint64(i)), slot})
		}
	}
	slices.SortFunc(r, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.slot, b.slot))
	})
	return r
}

// mix spreads the bits of x, as the finalizer of SplitMix64 does.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// walk calls use with the backend servers that follow key on the ring, until use returns false
// or limit points were visited. A slot may be visited more than once.
func (r ring) walk(key uint64, limit int, use func(masticcache.Slot) bool) {
	at, _ := slices.BinarySearchFunc(r, key, func(p point, k uint64) int { return cmp.Compare(p.hash, k) })
	for i := range min(limit, len(r)) {
		if !use(r[(at+i)%len(r)].slot) {
			return
		}
	}
}

// first returns the first n distinct backend servers that follow key on the ring.
func (r ring) first(key uint64, n int) []masticcache.Slot {
	var out []masticcache.Slot
	r.walk(key, len(r), func(slot masticcache.Slot) bool {
		if len(out) < n && !slices.Contains(out, slot) {
			out = append(out, slot)
		}
		return len(out) < n
	})
	return out
}
