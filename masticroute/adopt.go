package masticroute

import (
	"slices"
	"time"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticprompt"
)

// ReasonCoordinator marks an engine that the coordinator of its shard assigned.
const ReasonCoordinator Reason = "coordinator"

// isPooled reports whether the engine of slot gets requests for model.
func (r *Router) isPooled(slot masticcache.Slot, model string) bool {
	for _, p := range r.pools[model] {
		if _, ok := slices.BinarySearch(p.slots, slot); ok {
			return true
		}
	}
	return false
}

// Adopt returns the decision to send the request of q to the engine that the coordinator of its shard
// assigned. It reports false if this host may not use the engine.
func (r *Router) Adopt(now time.Time, q *Query, a masticcall.ShardAssignment) (Decision, bool) {
	slot, ok := r.slots[a.Server]
	if !ok || r.servers[slot].info.Incarnation != a.Incarnation || !r.isPooled(slot, q.Model) || !r.canRun(now, r.servers[slot], q) {
		return Decision{}, false
	}
	s := r.servers[slot]
	d := Decision{
		Candidate: Candidate{Slot: slot, Reason: ReasonCoordinator, Cached: float64(a.CachedTokens), Wait: a.Wait, Prefill: a.Prefill},
		Admit:     true,
		Pieces:    q.Prompt.Pieces(masticprompt.Seed{Workspace: q.Workspace, Model: q.Model, WeightsVersion: a.WeightsVersion}),
		Tokens:    max(q.Prompt.Tokens(), q.PromptTokens),
		Ahead:     s.load.ownTokens,
		Fetch:     a.FetchAddress, Save: a.SaveAddress,
	}
	d.Held = heldFor(d.Tokens, q.OutputTokens)
	d.evaluated[0], d.nEvaluated = d.Candidate, 1
	return d, true
}
