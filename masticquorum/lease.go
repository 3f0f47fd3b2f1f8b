package masticquorum

import (
	"slices"
	"time"

	"masticladder/masticproto"
)

// leaseMarginDivisor sets the safety margin of the lease. The lease ends
// electionTimeout/leaseMarginDivisor before any voter that it relies on may grant a vote
// again, so that the clocks of hosts may differ in speed by a tenth.
const leaseMarginDivisor = 10

// heartbeatRound records when the appends of a round were queued for sending.
type heartbeatRound struct {
	number uint64
	sentAt time.Time
}

// startRound starts a heartbeat round; all appends carry its number until the next round.
// Rounds older than the election timeout are dropped.
func (c *Core) startRound(now time.Time) {
	c.heartbeatDeadline = now.Add(c.heartbeatInterval)
	c.round++
	oldest := now.Add(-c.electionTimeout)
	c.rounds = slices.DeleteFunc(c.rounds, func(r heartbeatRound) bool { return r.sentAt.Before(oldest) })
	c.rounds = append(c.rounds, heartbeatRound{number: c.round, sentAt: now})
}

// roundSentAt returns when a round was sent, and false if the round is no longer recorded.
func (c *Core) roundSentAt(number uint64) (time.Time, bool) {
	for _, r := range c.rounds {
		if r.number == number {
			return r.sentAt, true
		}
	}
	return time.Time{}, false
}

// quorumRoundSentAt returns the latest time t such that each voter of a quorum has answered a round
// sent at t or later.
func (c *Core) quorumRoundSentAt(now time.Time) time.Time {
	var sentAt []time.Time
	for _, m := range c.currentMembers().voters() {
		sentAt = append(sentAt, c.voterRoundSentAt(now, m))
	}
	slices.SortFunc(sentAt, func(a, b time.Time) int { return b.Compare(a) })
	return sentAt[c.currentMembers().quorum()-1]
}

// voterRoundSentAt returns when the latest round that m answered was sent. It returns the zero
// time if m answers from a storage incarnation that is not the bound one.
func (c *Core) voterRoundSentAt(now time.Time, m *masticproto.Member) time.Time {
	if m.GetId() == c.id {
		return now
	}
	if p := c.progress[m.GetId()]; p != nil && c.currentMembers().isVoter(m.GetId(), p.dataFolder) {
		return p.answeredRoundSentAt
	}
	return time.Time{}
}

// leaseUntil returns the end of the leader lease. A voter that answers a round refuses votes for
// an election timeout after it received the round, which is not before the round was sent.
func (c *Core) leaseUntil(now time.Time) time.Time {
	return c.quorumRoundSentAt(now).Add(c.electionTimeout - c.electionTimeout/leaseMarginDivisor)
}

// quorumDeadline returns the time at which the leader steps down unless a quorum answers before.
func (c *Core) quorumDeadline(now time.Time) time.Time {
	sentAt := c.quorumRoundSentAt(now)
	if sentAt.Before(c.leaderSince) {
		sentAt = c.leaderSince
	}
	return sentAt.Add(c.electionTimeout)
}
