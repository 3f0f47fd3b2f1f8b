package masticroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticprompt"
)

// homeStore returns the store where all hosts save and look up the prompt's shared part. Each
// prompt is in one store only, so that the capacity and bandwidth of the stores add up. It
// reports false when no store is usable.
func (r *Router) homeStore(now time.Time, pieces []masticprompt.Piece) (store, bool) {
	end := prefixEnd(pieces)
	var home store
	var highest uint64
	found := false
	for _, s := range r.stores {
		if !r.storeUsable(now, s.address) {
			continue
		}
		weight := storeWeight(s, pieces[:end+1])
		if !found || weight > highest {
			home, highest, found = s, weight, true
		}
	}
	return home, found
}

// storeWeight returns the weight of a store for a prefix in rendezvous hashing: the store with
// the highest weight is the prefix's home, so that the loss of a store moves only its own
// prefixes.
func storeWeight(s store, prefix []masticprompt.Piece) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.address)
	if len(prefix) > 0 {
		id := prefix[len(prefix)-1].ID
		_, _ = d.Write(id[:])
	}
	return d.Sum64()
}
