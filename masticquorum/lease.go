package masticquorum

import (
	"slices"
	"time"

	"masticladder/masticproto"
)

// The lease ends this part of the election timeout before a voter's promise can, so that
// clocks may differ in speed by a tenth.
const leaseMargin = 10

// heartbeatRound is the time at which the appends of one round were queued to be sent.
type heartbeatRound struct {
	number uint64
	sent   time.Time
}

// startRound begins a heartbeat round. Every append of the round carries its number.
func (c *Core) startRound(now time.Time) {
	c.heartbeatDeadline = now.Add(c.heartbeat)
	c.round++
	oldest := now.Add(-c.electionTimeout)
	c.rounds = slices.DeleteFunc(c.rounds, func(r heartbeatRound) bool { return r.sent.Before(oldest) })
	c.rounds = append(c.rounds, heartbeatRound{number: c.round, sent: now})
}

// roundSent returns when a round was sent, if it is recent.
func (c *Core) roundSent(number uint64) (time.Time, bool) {
	for _, r := range c.rounds {
		if r.number == number {
			return r.sent, true
		}
	}
	return time.Time{}, false
}

// quorumSent returns the latest time such that a quorum has answered a round sent then or later.
func (c *Core) quorumSent(now time.Time) time.Time {
	var sent []time.Time
	for _, m := range c.current().voters() {
		sent = append(sent, c.voterSent(now, m))
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[c.current().quorum()-1]
}

// voterSent returns when the latest round that m answered was sent; m counts only with its own storage.
func (c *Core) voterSent(now time.Time, m *masticproto.Member) time.Time {
	if m.GetId() == c.id {
		return now
	}
	if p := c.progress[m.GetId()]; p != nil && c.current().isVoter(m.GetId(), p.storage) {
		return p.answered
	}
	return time.Time{}
}

// leaseUntil returns the end of the leader's lease. Each voter that answered a round refuses
// its vote for an election timeout from a moment not before the round was sent.
func (c *Core) leaseUntil(now time.Time) time.Time {
	return c.quorumSent(now).Add(c.electionTimeout - c.electionTimeout/leaseMargin)
}

// quorumDeadline returns when a leader steps down unless a quorum answers.
func (c *Core) quorumDeadline(now time.Time) time.Time {
	sent := c.quorumSent(now)
	if sent.Before(c.since) {
		sent = c.since
	}
	return sent.Add(c.electionTimeout)
}
