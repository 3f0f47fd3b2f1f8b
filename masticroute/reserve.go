package masticroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticcache"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

const (
	// enginesPerReserve is the number of engines in a pool per engine that is reserved for the
	// quick class.
	enginesPerReserve = 10
	// minEnginesForReserve is the least number of engines in a pool with a reserve.
	minEnginesForReserve = 6
	// minQuickRequestShare is the least share of quick requests at which the reserve is in effect.
	minQuickRequestShare = 0.05
	// maxWarmUp is the longest prefill that a quick request spends to bring its prefix into the
	// reserve, where later requests find it.
	maxWarmUp = 6 * time.Second
)

// newReserve returns the engines reserved for the quick class; all hosts choose the same ones.
func newReserve(model string, p pool) []masticcache.Slot {
	if len(p.slots) < minEnginesForReserve {
		return nil
	}
	return p.ring.first(xxhash.Sum64String("reserve\x00"+model), max(1, len(p.slots)/enginesPerReserve))
}

// reserved returns the engines of p that requests of class do not use while there is any other
// candidate.
func (r *Router) reserved(p *pool, class masticview.Class) []masticcache.Slot {
	if class == masticview.ClassQuick || r.quickRequestShare < minQuickRequestShare {
		return nil
	}
	return p.reserve
}

func (r *Router) addReserve(p *pool, class masticview.Class, add func(masticcache.Slot, Reason) bool) {
	if class != masticview.ClassQuick {
		return
	}
	for _, slot := range p.reserve {
		add(slot, ReasonReserve)
	}
}

// warmUpCredit returns the part of a candidate's prefill that later requests with the same
// prefix save: all levels but the last.
func warmUpCredit(c Candidate, pieces []masticprompt.Piece) time.Duration {
	if c.Prefill > maxWarmUp {
		return 0
	}
	var prefix, all float64
	for _, p := range pieces {
		all += float64(p.Tokens)
		if p.Level < pieces[len(pieces)-1].Level {
			prefix += float64(p.Tokens)
		}
	}
	missingPrefix := max(0, prefix-c.Cached)
	if uncached := all - c.Cached; uncached > 0 {
		return time.Duration(float64(c.Prefill) * missingPrefix / uncached)
	}
	return 0
}
