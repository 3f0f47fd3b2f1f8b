package masticrelay

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticdocument"
)

// pickPool returns the pool of a target, with probability in proportion to its weight (weighted rendezvous
// hashing). It depends on the identifier only, so that all hosts find the pool in which a stream began. A change
// of the weights moves few streams.
func pickPool(targets []masticdocument.Target, id string) string {
	if len(targets) == 1 {
		return targets[0].Pool
	}
	best, least := "", math.Inf(1)
	for _, t := range targets {
		h := xxhash.New()
		// Writing to a hash does not fail.
		_, _ = h.WriteString(t.Pool + "\x00" + id)
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], h.Sum64())
		u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
		if d := -math.Log(u) / float64(t.Weight); t.Weight > 0 && d < least {
			best, least = t.Pool, d
		}
	}
	return best
}

// streamID returns the identifier of the request that began the stream, that of the request itself if it takes
// none up. Requests without one are spread at random.
func (c *Call) streamID() string {
	switch {
	case c.Resumes != "":
		return c.Resumes
	case c.ID != "":
		return c.ID
	}
	return strconv.FormatUint(rand.Uint64(), 36)
}
