package masticquorum

import (
	"slices"
	"time"

	"masticladder/masticproto"
)

// snapshotTimeouts is the number of election timeouts after which a snapshot is sent again.
const snapshotTimeouts = 4

// progress is what a leader knows of another member.
type progress struct {
	id      string
	storage string
	// answered is when the latest round that the member answered was sent.
	answered time.Time
	match    uint64
	next     uint64
	// probing holds until the member confirms the entry before next; one append is sent at a time.
	probing   bool
	probeSent bool
	// inFlight has the last index of each unanswered append.
	inFlight []uint64
	// commitSent is the highest commit index sent.
	commitSent uint64
	// snapshotIndex is not zero while a snapshot is under way.
	snapshotIndex    uint64
	snapshotDeadline time.Time
}

func newProgress(id string, next uint64) *progress {
	return &progress{id: id, next: next, probing: true}
}

// trackMembers has progress for each other member of the current list and for no one else.
func (c *Core) trackMembers() {
	for id := range c.progress {
		if c.current().find(id) == nil {
			delete(c.progress, id)
		}
	}
	for _, m := range c.current().members {
		if m.GetId() != c.id && c.progress[m.GetId()] == nil {
			c.progress[m.GetId()] = newProgress(m.GetId(), c.log.last()+1)
		}
	}
}

// acknowledge handles the answer to an append or a snapshot.
func (c *Core) acknowledge(now time.Time, m *masticproto.QuorumMessage) {
	if c.current().find(m.GetFrom()) == nil {
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
		p.storage = m.GetStorage()
	}
	if p.storage != m.GetStorage() {
		p = newProgress(p.id, c.log.last()+1)
		p.storage = m.GetStorage()
		c.progress[p.id] = p
	}
	if sent, ok := c.roundSent(m.GetRound()); ok && sent.After(p.answered) {
		p.answered = sent
	}
	if m.GetReject() {
		p.rejected(m.GetIndex(), m.GetHint())
		return
	}
	p.accepted(m.GetIndex())
	c.maybeCommit()
}

// rejected goes back to where the member may agree; a late answer is ignored.
func (p *progress) rejected(index, hint uint64) {
	if index <= p.match || (p.probing && index != p.next-1) {
		return
	}
	p.next = max(min(index, hint+1), p.match+1)
	p.probing = true
	p.probeSent = false
	p.inFlight = nil
}

// accepted records that the member has all entries up to index durably.
func (p *progress) accepted(index uint64) {
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

// sendHeartbeat sends an append of the present round. It repeats a probe or a snapshot that may be lost.
func (c *Core) sendHeartbeat(now time.Time, p *progress) {
	p.probeSent = false
	if p.snapshotIndex != 0 && !now.Before(p.snapshotDeadline) {
		p.snapshotIndex = 0
	}
	if p.snapshotIndex == 0 {
		if _, ok := c.log.term(p.next - 1); !ok {
			c.sendSnapshot(p)
			p.snapshotDeadline = now.Add(snapshotTimeouts * c.electionTimeout)
			return
		}
	}
	if p.probing && p.snapshotIndex == 0 {
		c.sendAppends(p)
		return
	}
	c.sendAppend(p, nil)
}

// sendAppends sends what p lacks within the bounds of flow control.
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

// sendAppend sends one append of entries from next on. During a snapshot it only keeps the promise alive.
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
	})
}

// sendSnapshot sends the latest snapshot to a member that lags behind the log.
func (c *Core) sendSnapshot(p *progress) {
	p.snapshotIndex = c.snapshot.GetIndex()
	p.inFlight = nil
	c.send(&masticproto.QuorumMessage{
		Kind:     masticproto.MessageKind_MESSAGE_SNAPSHOT,
		To:       p.id,
		Term:     c.term,
		Round:    c.round,
		Snapshot: c.snapshot,
	})
}

// peerStatus returns what is known of each other member.
func (c *Core) peerStatus(now time.Time) []PeerStatus {
	var peers []PeerStatus
	for _, m := range c.current().members {
		p := c.progress[m.GetId()]
		if p == nil {
			continue
		}
		peers = append(peers, PeerStatus{
			ID:         p.id,
			Voter:      m.GetVoter(),
			Match:      p.match,
			Storage:    p.storage,
			Replaced:   m.GetVoter() && p.storage != "" && m.GetStorage() != "" && p.storage != m.GetStorage(),
			CaughtUp:   !m.GetVoter() && c.caughtUp(now, p),
			Responsive: c.responsive(now, p),
		})
	}
	return peers
}

// responsive reports whether the member answered a round sent within the election timeout.
func (c *Core) responsive(now time.Time, p *progress) bool {
	return now.Before(p.answered.Add(c.electionTimeout))
}

// caughtUp reports whether the member has every committed entry durably.
func (c *Core) caughtUp(now time.Time, p *progress) bool {
	return p.storage != "" && p.match >= c.commit && p.match >= c.termStart && c.responsive(now, p)
}
