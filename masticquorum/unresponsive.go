package masticquorum

import (
	"time"

	"masticladder/masticproto"
)

const (
	// voterTimeout is the time without an answer after which a voter may be removed. A voter that is gone for good has to be
	// removed before further hosts are lost, which may be some seconds after its successor has started. A voter that was only
	// suspended or cut off for longer than that asks to be a voter again.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is voterTimeout for learners, which no quorum depends on.
	learnerTimeout = 10 * time.Second
	// observationTimeouts is the number of election timeouts for which a leader waits for answers of its own before it removes
	// a member, since one that answers again may have had no leader to answer.
	observationTimeouts = 2
)

// UnresponsiveMember returns the member that has not answered for the longest time of those that have not for more than their
// timeout, counted over all leaders, and whose removal leaves at least minVoters voters. It returns "" if there is none, if a quorum
// does not answer, or if this host does not lead or has had no processor time to read answers. The removal never raises the quorum,
// and a quorum of minVoters voters stores every entry that is committed after it.
func (c *Core) UnresponsiveMember(now time.Time, minVoters int) string {
	if c.role != roleLeader || c.delay(now) > 0 || now.Before(c.leaderSince.Add(observationTimeouts*c.electionTimeout)) {
		return ""
	}
	return longestUnresponsive(now, c.peerStatus(now), minVoters)
}

func longestUnresponsive(now time.Time, peers []PeerStatus, minVoters int) string {
	voters, answering := 1, 1
	for _, p := range peers {
		if p.Voter {
			voters++
		}
		if p.Voter && p.Responsive && !p.StorageReplaced {
			answering++
		}
	}
	if answering <= voters/2 {
		return ""
	}
	var longest PeerStatus
	for _, p := range peers {
		if p.removable(now, voters, minVoters) && (longest.ID == "" || p.AnsweredAt.Before(longest.AnsweredAt)) {
			longest = p
		}
	}
	return longest.ID
}

// removable reports whether the member of a group with the given number of voters may be removed.
func (p PeerStatus) removable(now time.Time, voters, minVoters int) bool {
	silence := now.Sub(p.AnsweredAt)
	if p.Voter {
		return silence > voterTimeout && voters > minVoters
	}
	return silence > learnerTimeout
}

// silentMembers returns the members that have not answered within the last election timeout.
func (c *Core) silentMembers(now time.Time) []*masticproto.SilentMember {
	var silent []*masticproto.SilentMember
	for _, m := range c.currentMembers().members {
		p := c.progress[m.GetId()]
		if p == nil || now.Sub(p.answeredAt) <= c.electionTimeout {
			continue
		}
		silent = append(silent, &masticproto.SilentMember{Id: p.id, SilenceMillis: uint64(now.Sub(p.answeredAt).Milliseconds())})
	}
	return silent
}

// recordSilence records which members the leader does not hear from, so that this host can go on from there as the leader.
func (c *Core) recordSilence(now time.Time, silent []*masticproto.SilentMember) {
	c.silentSince = nil
	for _, s := range silent {
		if c.silentSince == nil {
			c.silentSince = make(map[string]time.Time, len(silent))
		}
		c.silentSince[s.GetId()] = now.Add(-time.Duration(s.GetSilenceMillis()) * time.Millisecond)
	}
}

// lastAnswer returns when a member last answered a leader, as far as this host knows.
func (c *Core) lastAnswer(now time.Time, id string) time.Time {
	if at, ok := c.silentSince[id]; ok {
		return at
	}
	return now
}

// delay returns for how long a heartbeat has been overdue, or zero if that is no longer than an election timeout. A leader that is
// so late had no processor time.
func (c *Core) delay(now time.Time) time.Duration {
	if d := now.Sub(c.heartbeatDeadline); d > c.electionTimeout {
		return d
	}
	return 0
}

// excludeDelay leaves a time in which this leader had no processor time out of the silence of all members.
func (c *Core) excludeDelay(now time.Time) {
	d := c.delay(now)
	if d == 0 {
		return
	}
	for _, p := range c.progress {
		p.answeredAt = p.answeredAt.Add(d)
		if p.answeredAt.After(now) {
			p.answeredAt = now
		}
	}
}
