package masticcontrol

import (
	"time"

	"masticladder/masticquorum"
)

// unresponsiveTimeout is the time without an answer after which the leader removes a member, so
// that one that is gone for good is replaced. It is longer than the longest freeze observed in
// known installations (7.7 s), because a machine that freezes or loses power for some seconds
// comes back with its state.
const unresponsiveTimeout = 10 * time.Second

// evenGroupTimeout is unresponsiveTimeout for voters of a group with an even number of voters, where a removal lowers the
// quorum. Otherwise a group whose leaders are replaced more often than unresponsiveTimeout would grow with each
// successor, until the lost voters were half of it.
const evenGroupTimeout = 2500 * time.Millisecond

// maxCheckGap is the time between two checks from which the time between them does not count, since the leader itself
// may have had no processor time to read answers.
const maxCheckGap = 500 * time.Millisecond

// lastAnswers holds the time of each other member's last answer, by identifier. A member that has
// not answered this leader counts from the leader's first check.
type lastAnswers map[string]time.Time

// withoutGap leaves a long time between two checks out of all times without an answer.
func (s lastAnswers) withoutGap(checkedAt, now time.Time) {
	gap := now.Sub(checkedAt)
	if gap <= maxCheckGap {
		return
	}
	for id, at := range s {
		s[id] = at.Add(gap)
	}
}

// longestUnresponsive returns the member that has been unresponsive for the longest time of those
// that have been for more than their timeout. It returns "" if there is none or if fewer than minVoters
// voters answer, this host included.
func (s lastAnswers) longestUnresponsive(now time.Time, peers []masticquorum.PeerStatus, minVoters int) string {
	answering, oldest := 1, ""
	voterTimeout := timeoutOfVoters(peers)
	for _, p := range peers {
		timeout := unresponsiveTimeout
		if p.Voter {
			timeout = voterTimeout
		}
		since, known := s[p.ID]
		switch {
		case p.Responsive:
			s[p.ID] = now
			if p.Voter {
				answering++
			}
		case !known:
			s[p.ID] = now
		case now.Sub(since) > timeout && (oldest == "" || since.Before(s[oldest])):
			oldest = p.ID
		}
	}
	if answering < minVoters {
		return ""
	}
	return oldest
}

// timeoutOfVoters returns the timeout of the voters of a group, whose leader has the given peers.
func timeoutOfVoters(peers []masticquorum.PeerStatus) time.Duration {
	voters := 1
	for _, p := range peers {
		if p.Voter {
			voters++
		}
	}
	if voters%2 == 0 {
		return evenGroupTimeout
	}
	return unresponsiveTimeout
}

// removeUnresponsive removes the member that has been unresponsive for the longest time, as long
// as enough voters answer. A host that comes back asks to be a voter again.
func (d *leaderState) removeUnresponsive(now time.Time) {
	if d.loop.minResponsiveVoters == 0 {
		return
	}
	d.lastAnswers.withoutGap(d.membersCheckedAt, now)
	d.membersCheckedAt = now
	oldest := d.lastAnswers.longestUnresponsive(now, d.loop.status.Peers, d.loop.minResponsiveVoters)
	if oldest == "" {
		return
	}
	if d.proposeMemberChange(now, masticquorum.Change{Kind: masticquorum.ChangeRemove, ID: oldest}, "the member is unresponsive") == nil {
		delete(d.lastAnswers, oldest)
	}
}
