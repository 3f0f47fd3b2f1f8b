package masticcontrol

import (
	"maps"
	"slices"
	"time"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// usage answers with the usage totals.
func (l *loop) usage(c *call) {
	answer := &masticproto.UsageAnswer{}
	for _, t := range l.state.Usage().Sums() {
		answer.Counters = append(answer.Counters, usageCounter(t))
	}
	for _, s := range l.state.Usage().ServedSums() {
		answer.Served = append(answer.Served, &masticproto.ServedCounter{
			ServerOwner:  s.ServerOwner,
			Model:        s.Model,
			Requests:     s.Requests,
			InputTokens:  s.InputTokens,
			OutputTokens: s.OutputTokens,
		})
	}
	c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Usage{Usage: answer}})
}

func usageCounter(t masticcall.UsageTotal) *masticproto.UsageCounter {
	u := &masticproto.UsageCounter{
		Workspace:        t.Workspace,
		Profile:          t.Profile,
		Model:            t.Model,
		ServerOwner:      t.ServerOwner,
		Requests:         t.Requests,
		Orders:           t.Orders,
		InputTokens:      t.InputTokens,
		OutputTokens:     t.OutputTokens,
		CachedTokens:     t.CachedTokens,
		RecomputedTokens: t.RecomputedTokens,
	}
	for _, kind := range slices.Sorted(maps.Keys(t.Refusals)) {
		u.Refusals = append(u.Refusals, &masticproto.RefusalCount{Kind: kind, Count: t.Refusals[kind]})
	}
	return u
}

// answerStatus answers with the leader's status of the control group.
func (l *loop) answerStatus(now time.Time, c *call) {
	c.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Status{Status: &masticproto.StatusAnswer{
		Host:                l.id,
		Leader:              l.status.Leader,
		Term:                l.status.Term,
		Commit:              l.status.Commit,
		Revision:            l.state.View().Revision(),
		Members:             l.status.Members,
		ActiveLeases:        int64(l.leader.grantor.Active(now)),
		StateBytes:          l.stateBytes,
		LastCommittedUnixMs: l.lastCommitted.UnixMilli(),
	}}})
}
