package masticroute

import (
	"time"

	"masticladder/masticcache"
	"masticladder/masticprompt"
)

// prefixEnd returns the index of the last piece before the prompt's last level, or -1.
func prefixEnd(pieces []masticprompt.Piece) int {
	for i := len(pieces) - 1; i >= 0; i-- {
		if pieces[i].Level < pieces[len(pieces)-1].Level {
			return i
		}
	}
	return -1
}

// PrefixHash returns a hash of the part of a prompt that other requests may share, or else of all of it.
// It leaves out the version of the weights.
func PrefixHash(workspace, model string, prompt masticprompt.Prompt) uint64 {
	pieces := prompt.Pieces(masticprompt.Seed{Workspace: workspace, Model: model})
	if len(pieces) == 0 {
		return 0
	}
	end := prefixEnd(pieces)
	if end < 0 {
		end = len(pieces) - 1
	}
	return pieces[end].ID.Hash()
}

// homes returns the engines where all hosts look for the prompt's longest shared prefix: all its
// levels but the last.
func (p *pool) homes(pieces []masticprompt.Piece) []masticcache.Slot {
	end := prefixEnd(pieces)
	if end < 0 {
		return nil
	}
	return p.ring.first(pieces[end].ID.Hash(), homesPerLevel)
}

// currentOffHomeCost returns the cost of computing one token on an engine that is not a home of its
// prefix, in prefill times of one token at the mean speed.
func (r *Router) currentOffHomeCost(now time.Time) float64 {
	if r.cacheIndex.HasRecentEvents(now) {
		return offHomeCost
	}
	return offHomeCostWithoutEvents
}
