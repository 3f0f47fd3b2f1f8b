package masticquorum

import (
	"time"

	"masticladder/masticproto"
)

// handleLeaderMessage handles an append or a snapshot from a leader.
func (c *Core) handleLeaderMessage(now time.Time, m *masticproto.QuorumMessage) {
	if m.GetTerm() < c.term {
		c.sendAppendAnswer(m, 0, true)
		return
	}
	if m.GetTerm() == c.term && c.role == roleLeader {
		return
	}
	if !validEntries(m) {
		return
	}
	c.becomeFollower(now, m.GetTerm(), m.GetFrom())
	c.resetElectionDeadline(now)
	c.refuseVotesUntil = now.Add(c.electionTimeout)
	c.recordSilence(now, m.GetSilent())
	if m.GetKind() == masticproto.MessageKind_MESSAGE_SNAPSHOT {
		c.installSnapshot(m)
		return
	}
	c.appendEntries(m)
}

// validEntries reports whether the entries have consecutive indexes, their member lists can
// be decoded and a snapshot message contains a snapshot.
func validEntries(m *masticproto.QuorumMessage) bool {
	for i, e := range m.GetEntries() {
		if e.GetIndex() != m.GetIndex()+uint64(i)+1 {
			return false
		}
		if e.GetKind() != masticproto.EntryKind_ENTRY_MEMBERS {
			continue
		}
		if _, err := decodeMembers(e); err != nil {
			return false
		}
	}
	return m.GetKind() != masticproto.MessageKind_MESSAGE_SNAPSHOT || m.GetSnapshot() != nil
}

// appendEntries stores the entries of an append if the log matches the entry before them.
// The comparison is skipped if that entry is committed here.
func (c *Core) appendEntries(m *masticproto.QuorumMessage) {
	if m.GetIndex() > c.commit && !c.log.matches(m.GetIndex(), m.GetLogTerm()) {
		c.sendAppendAnswer(m, m.GetIndex(), true)
		return
	}
	for _, e := range m.GetEntries() {
		c.mergeEntry(e)
	}
	matched := m.GetIndex() + uint64(len(m.GetEntries()))
	c.commit = max(c.commit, min(m.GetCommit(), matched))
	c.sendAppendAnswer(m, matched, false)
}

// mergeEntry appends an entry unless the log already contains it. If the log has an entry of
// another term at its index, that entry and all after it are removed first.
func (c *Core) mergeEntry(e *masticproto.Entry) {
	if e.GetIndex() <= c.commit || c.log.matches(e.GetIndex(), e.GetTerm()) {
		return
	}
	if e.GetIndex() <= c.log.lastIndex() {
		c.log.truncate(e.GetIndex())
		c.truncateMemberLists(e.GetIndex())
	}
	c.appendEntry(e)
}

// appendEntry adds an entry to the log. A member list takes effect when it is appended, not
// when it is committed.
func (c *Core) appendEntry(e *masticproto.Entry) {
	c.log.append(e)
	if e.GetKind() != masticproto.EntryKind_ENTRY_MEMBERS {
		return
	}
	if l, err := decodeMembers(e); err == nil {
		c.memberLists = append(c.memberLists, l)
	}
}

// installSnapshot handles the leader's snapshot. A snapshot that is not ahead of the commit
// index is ignored; one that matches the log only advances the commit index; any other
// replaces the log and the state.
func (c *Core) installSnapshot(m *masticproto.QuorumMessage) {
	s := m.GetSnapshot()
	switch {
	case s.GetIndex() <= c.commit:
	case c.log.matches(s.GetIndex(), s.GetTerm()):
		c.commit = s.GetIndex()
	default:
		c.log.reset(s.GetIndex(), s.GetTerm())
		c.memberLists = []memberList{{index: s.GetIndex(), members: s.GetMembers().GetMembers()}}
		c.commit = s.GetIndex()
		c.delivered = s.GetIndex()
		c.snapshot = s
		c.pendingSnapshot = s
	}
	c.sendAppendAnswer(m, s.GetIndex(), false)
}

// sendAppendAnswer answers an append or a snapshot. The answer repeats the heartbeat round.
func (c *Core) sendAppendAnswer(m *masticproto.QuorumMessage, index uint64, reject bool) {
	kind := masticproto.MessageKind_MESSAGE_APPEND_ANSWER
	if m.GetKind() == masticproto.MessageKind_MESSAGE_SNAPSHOT {
		kind = masticproto.MessageKind_MESSAGE_SNAPSHOT_ANSWER
	}
	c.send(&masticproto.QuorumMessage{
		Kind:      kind,
		To:        m.GetFrom(),
		ToStorage: m.GetStorage(),
		Term:      c.term,
		Index:     index,
		Reject:    reject,
		Round:     m.GetRound(),
		Hint:      c.hint(m),
	})
}

// hint returns the highest index at which this log may agree with the sender's, so that the
// leader can skip over conflicting entries.
func (c *Core) hint(m *masticproto.QuorumMessage) uint64 {
	h := min(c.log.lastIndex(), m.GetIndex())
	for h > c.commit {
		t, _ := c.log.term(h)
		if t <= m.GetLogTerm() {
			break
		}
		h--
	}
	return h
}
