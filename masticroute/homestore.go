package masticroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticprompt"
)

// homeStore returns the store where all hosts save the prompt's shared part and look for it.
// With each prompt in one store the stores' room and links add up. It reports false where no
// store is usable.
func (r *Router) homeStore(now time.Time, pieces []masticprompt.Piece) (store, bool) {
	end := prefixEnd(pieces)
	var home store
	var most uint64
	found := false
	for _, s := range r.stores {
		if !r.storeUsable(now, s.address) {
			continue
		}
		weight := storeWeight(s, pieces[:end+1])
		if !found || weight > most {
			home, most, found = s, weight, true
		}
	}
	return home, found
}

// storeWeight is the weight of a store for a prefix: the store of the greatest is its home, so
// that the loss of one store moves no other prefixes (rendezvous hashing).
func storeWeight(s store, prefix []masticprompt.Piece) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.address)
	if len(prefix) > 0 {
		id := prefix[len(prefix)-1].ID
		_, _ = d.Write(id[:])
	}
	return d.Sum64()
}
