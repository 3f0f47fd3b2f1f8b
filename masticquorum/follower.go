package masticquorum

import (
	"time"

	"masticladder/masticproto"
)

// follow handles an append or a snapshot of a leader.
func (c *Core) follow(now time.Time, m *masticproto.QuorumMessage) {
	if m.GetTerm() < c.term {
		c.answerAppend(m, 0, true)
		return
	}
	if m.GetTerm() == c.term && c.role == roleLeader {
		return
	}
	if !validEntries(m) {
		return
	}
	c.becomeFollower(now, m.GetTerm(), m.GetFrom())
	c.resetElection(now)
	c.promiseUntil = now.Add(c.electionTimeout)
	if m.GetKind() == masticproto.MessageKind_MESSAGE_SNAPSHOT {
		c.install(m)
		return
	}
	c.appendEntries(m)
}

// validEntries reports whether the entries follow each other and their member lists can be read.
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

// appendEntries takes the entries of an append if the one before them matches.
func (c *Core) appendEntries(m *masticproto.QuorumMessage) {
	if m.GetIndex() > c.commit && !c.log.matches(m.GetIndex(), m.GetLogTerm()) {
		c.answerAppend(m, m.GetIndex(), true)
		return
	}
	for _, e := range m.GetEntries() {
		c.takeEntry(e)
	}
	matched := m.GetIndex() + uint64(len(m.GetEntries()))
	c.commit = max(c.commit, min(m.GetCommit(), matched))
	c.answerAppend(m, matched, false)
}

// takeEntry stores an entry unless it is present; it replaces one of another term and all after it.
func (c *Core) takeEntry(e *masticproto.Entry) {
	if e.GetIndex() <= c.commit || c.log.matches(e.GetIndex(), e.GetTerm()) {
		return
	}
	if e.GetIndex() <= c.log.last() {
		c.log.truncate(e.GetIndex())
		c.forgetLists(e.GetIndex())
	}
	c.appendEntry(e)
}

// appendEntry adds an entry to the log; a member list is in force from then on.
func (c *Core) appendEntry(e *masticproto.Entry) {
	c.log.append(e)
	if e.GetKind() != masticproto.EntryKind_ENTRY_MEMBERS {
		return
	}
	if l, err := decodeMembers(e); err == nil {
		c.lists = append(c.lists, l)
	}
}

// install replaces the log and the state by the leader's snapshot where it is ahead.
func (c *Core) install(m *masticproto.QuorumMessage) {
	s := m.GetSnapshot()
	switch {
	case s.GetIndex() <= c.commit:
	case c.log.matches(s.GetIndex(), s.GetTerm()):
		c.commit = s.GetIndex()
	default:
		c.log.reset(s.GetIndex(), s.GetTerm())
		c.lists = []memberList{{index: s.GetIndex(), members: s.GetMembers().GetMembers()}}
		c.commit = s.GetIndex()
		c.handed = s.GetIndex()
		c.snapshot = s
		c.installed = s
	}
	c.answerAppend(m, s.GetIndex(), false)
}

// answerAppend answers an append or a snapshot; the answer repeats the round.
func (c *Core) answerAppend(m *masticproto.QuorumMessage, index uint64, reject bool) {
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

// hint returns the last index at which the log may agree with the sender's.
func (c *Core) hint(m *masticproto.QuorumMessage) uint64 {
	h := min(c.log.last(), m.GetIndex())
	for h > c.commit {
		t, _ := c.log.term(h)
		if t <= m.GetLogTerm() {
			break
		}
		h--
	}
	return h
}
