package masticquorum

import (
	"slices"
	"time"

	"masticladder/masticproto"
)

// snapshotResendTimeouts is the number of election timeouts after which an unanswered snapshot
// is sent again.
const snapshotResendTimeouts = 4

// progress is a leader's view of another member's log.
type progress struct {
	id string
	// dataFolder is that of the member's latest answer.
	dataFolder
	// answeredRoundSentAt is the time at which the latest round that the member answered was sent.
	answeredRoundSentAt time.Time
	// answeredAt is when the member's last answer arrived, whatever its round, at this leader or at one before it. A member
	// of which no silence is known counts from the time at which the leader began to send to it.
	answeredAt time.Time
	match      uint64
	next       uint64
	// probing is set until the member confirms the entry before next. While it is set, only
	// one append is sent at a time.
	probing   bool
	probeSent bool
	// inFlight contains the last index of each unanswered append.
	inFlight []uint64
	// commitSent is the highest commit index that was sent to the member.
	commitSent uint64
	// snapshotIndex is the index of the snapshot that the member has not yet confirmed, or zero.
	snapshotIndex    uint64
	snapshotDeadline time.Time
}

func newProgress(id string, next uint64, answeredAt time.Time) *progress {
	return &progress{id: id, next: next, probing: true, answeredAt: answeredAt}
}

// syncProgress adds progress for new members of the current list and removes that of hosts
// which are no longer members.
func (c *Core) syncProgress(now time.Time) {
	for id := range c.progress {
		if c.currentMembers().find(id) == nil {
			delete(c.progress, id)
		}
	}
	for _, m := range c.currentMembers().members {
		if m.GetId() != c.id && c.progress[m.GetId()] == nil {
			c.progress[m.GetId()] = newProgress(m.GetId(), c.log.lastIndex()+1, c.lastAnswer(now, m.GetId()))
		}
	}
}

// handleAppendAnswer handles the answer to an append or a snapshot. If the member answers from
// another storage incarnation than before, its progress starts anew.
func (c *Core) handleAppendAnswer(now time.Time, m *masticproto.QuorumMessage) {
	if c.currentMembers().find(m.GetFrom()) == nil {
		return
	}
	if m.GetTerm() > c.term {
		c.becomeFollower(now, m.GetTerm(), "")
		return
	}
	if c.role != roleLeader || m.GetTerm() != c.term {
		return
	}
	p := c.progress[m.GetFrom()]
	if p.storage == "" {
		p.dataFolder = c.folderOf(m)
	}
	if p.storage != m.GetStorage() {
		p = newProgress(p.id, c.log.lastIndex()+1, now)
		p.dataFolder = c.folderOf(m)
		c.progress[p.id] = p
	}
	p.answeredAt = now
	if sentAt, ok := c.roundSentAt(m.GetRound()); ok && sentAt.After(p.answeredRoundSentAt) {
		p.answeredRoundSentAt = sentAt
	}
	if m.GetReject() {
		p.handleReject(m.GetIndex(), m.GetHint())
		return
	}
	p.handleAccept(m.GetIndex())
	c.maybeCommit()
}

// handleReject moves next back to where the member's log may agree. It ignores outdated answers.
func (p *progress) handleReject(index, hint uint64) {
	if index <= p.match || (p.probing && index != p.next-1) {
		return
	}
	p.next = max(min(index, hint+1), p.match+1)
	p.probing = true
	p.probeSent = false
	p.inFlight = nil
}

// handleAccept records that the member has stored all entries up to index durably.
func (p *progress) handleAccept(index uint64) {
	p.match = max(p.match, index)
	if p.snapshotIndex != 0 && p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
		p.probing = true
		p.probeSent = false
		p.next = p.match + 1
	}
	if p.probing && index+1 >= p.next {
		p.probing = false
		p.probeSent = false
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	p.inFlight = slices.DeleteFunc(p.inFlight, func(i uint64) bool { return i <= p.match })
}

// sendHeartbeat sends an append of the current round. It resends a probe or a snapshot, since
// the previous one may be lost.
func (c *Core) sendHeartbeat(now time.Time, p *progress) {
	p.probeSent = false
	if p.snapshotIndex != 0 && !now.Before(p.snapshotDeadline) {
		p.snapshotIndex = 0
	}
	if p.snapshotIndex == 0 {
		if _, ok := c.log.term(p.next - 1); !ok {
			c.sendSnapshot(p)
			p.snapshotDeadline = now.Add(snapshotResendTimeouts * c.electionTimeout)
			return
		}
	}
	if p.probing && p.snapshotIndex == 0 {
		c.sendAppends(p)
		return
	}
	c.sendAppend(p, nil)
}

// sendAppends sends the entries and the commit index that the member lacks, within the limits
// of flow control.
func (c *Core) sendAppends(p *progress) {
	for p.snapshotIndex == 0 && !p.probeSent && len(p.inFlight) < c.maxInFlight {
		if _, ok := c.log.term(p.next - 1); !ok {
			return
		}
		entries := c.log.batch(p.next, c.maxAppendBytes)
		if len(entries) == 0 && !p.probing && p.commitSent >= c.commit {
			return
		}
		c.sendAppend(p, entries)
		if p.probing {
			p.probeSent = true
			return
		}
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

// sendAppend sends one append with entries, which start at next. While a snapshot is being
// sent the append has no entries and only renews the lease.
func (c *Core) sendAppend(p *progress, entries []*masticproto.Entry) {
	index := p.next - 1
	term, ok := c.log.term(index)
	if !ok {
		index = 0
	}
	p.commitSent = c.commit
	c.send(&masticproto.QuorumMessage{
		Kind:    masticproto.MessageKind_MESSAGE_APPEND,
		To:      p.id,
		Term:    c.term,
		Index:   index,
		LogTerm: term,
		Entries: entries,
		Commit:  c.commit,
		Round:   c.round,
		Silent:  c.silent,
	})
}

// sendSnapshot sends the latest snapshot to a member that needs entries which the log no longer has.
func (c *Core) sendSnapshot(p *progress) {
	p.snapshotIndex = c.snapshot.GetIndex()
	p.inFlight = nil
	c.send(&masticproto.QuorumMessage{
		Kind:     masticproto.MessageKind_MESSAGE_SNAPSHOT,
		To:       p.id,
		Term:     c.term,
		Round:    c.round,
		Snapshot: c.snapshot,
		Silent:   c.silent,
	})
}

// peerStatus returns the status of each other member.
func (c *Core) peerStatus(now time.Time) []PeerStatus {
	var peers []PeerStatus
	for _, m := range c.currentMembers().members {
		p := c.progress[m.GetId()]
		if p == nil {
			continue
		}
		peers = append(peers, PeerStatus{
			ID:                 p.id,
			Voter:              m.GetVoter(),
			Match:              p.match,
			StorageIncarnation: p.storage,
			StorageReplaced:    m.GetVoter() && p.storage != "" && !c.currentMembers().isVoter(p.id, p.dataFolder),
			CaughtUp:           !m.GetVoter() && c.caughtUp(now, p),
			Responsive:         c.responsive(now, p),
			AnsweredAt:         p.answeredAt,
		})
	}
	return peers
}

// responsive reports whether the member answered a round sent within the last election timeout.
func (c *Core) responsive(now time.Time, p *progress) bool {
	return now.Before(p.answeredRoundSentAt.Add(c.electionTimeout))
}

// maxLearnerLag is the number of committed entries that a member may lack to count as caught up. While entries are committed
// all the time, a learner always lacks those under way, and one that had to have all was not promoted for 10 s. Its vote
// needs no more: a quorum of the former voters has every committed entry.
const maxLearnerLag = 64

// caughtUp reports whether the member is responsive and has stored the first entry of the term and, but for
// maxLearnerLag, every committed entry durably.
func (c *Core) caughtUp(now time.Time, p *progress) bool {
	return p.storage != "" && p.match+maxLearnerLag >= c.commit && p.match >= c.termStart && c.responsive(now, p)
}
