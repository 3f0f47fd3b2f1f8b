package masticquorum

import (
	"masticladder/masticerror"
	"masticladder/masticproto"
)

// maxCommittedEntries bounds the committed entries of one Ready, so that the owner can handle messages and send
// heartbeats while it applies a long log.
const maxCommittedEntries = 8

// Ready returns the pending work and whether there is any. If there is, the owner calls Advance
// once with the same value before it calls Ready again.
func (c *Core) Ready() (Ready, bool) {
	if c.role == roleLeader {
		c.replicate()
	}
	r := Ready{
		Entries:   c.log.between(c.log.stable, c.log.lastIndex()),
		Snapshot:  c.pendingSnapshot,
		Messages:  c.messages[:len(c.messages):len(c.messages)],
		Committed: c.log.between(c.delivered, min(c.commit, c.delivered+maxCommittedEntries)),
	}
	r.More = c.commit > c.delivered+maxCommittedEntries
	if c.hardStateChanged() {
		r.HardState = c.currentHardState()
	}
	pending := r.HardState != nil || r.Snapshot != nil ||
		len(r.Entries)+len(r.Messages)+len(r.Committed) > 0
	return r, pending
}

// Advance records that the owner has completed the work in r.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.savedTerm = r.HardState.GetTerm()
		c.savedVote = candidate{id: r.HardState.GetVote(), storage: r.HardState.GetVoteStorage()}
		c.hardStateSaved = true
	}
	c.messages = c.messages[len(r.Messages):]
	if len(c.messages) == 0 {
		c.messages = nil
	}
	if r.Snapshot != nil {
		c.applied = max(c.applied, r.Snapshot.GetIndex())
	}
	if r.Snapshot == c.pendingSnapshot {
		c.pendingSnapshot = nil
	}
	if n := len(r.Committed); n > 0 {
		c.applied = max(c.applied, r.Committed[n-1].GetIndex())
		c.delivered = max(c.delivered, c.applied)
	}
	if n := len(r.Entries); n > 0 {
		c.log.setStable(r.Entries[n-1].GetIndex(), r.Entries[n-1].GetTerm())
	}
	if c.role == roleLeader {
		c.maybeCommit()
	}
}

// replicate sends every other member the entries that it lacks.
func (c *Core) replicate() {
	for _, m := range c.currentMembers().members {
		if p := c.progress[m.GetId()]; p != nil {
			c.sendAppends(p)
		}
	}
}

// hardStateChanged reports whether the hard state differs from the durable one.
func (c *Core) hardStateChanged() bool {
	if !c.hardStateSaved && len(c.bootstrap) > 0 {
		return true
	}
	return c.term != c.savedTerm || c.vote != c.savedVote
}

func (c *Core) currentHardState() *masticproto.HardState {
	h := &masticproto.HardState{Term: c.term, Vote: c.vote.id, VoteStorage: c.vote.storage}
	if len(c.bootstrap) > 0 {
		h.Bootstrap = &masticproto.Members{Members: c.bootstrap}
	}
	return h
}

// Compact makes data, the state machine's state at index, the latest snapshot and returns it
// for the owner to store. It removes the entries before index except for those retained for
// members that lag behind. The error kinds are badRequest if index is not yet applied and
// conflict if a snapshot at index or later exists.
func (c *Core) Compact(index uint64, data []byte) (*masticproto.Snapshot, error) {
	if index > c.applied {
		return nil, masticerror.New(masticerror.KindBadRequest, "compact log: entry %d is not applied", index)
	}
	if index <= c.snapshot.GetIndex() {
		return nil, masticerror.New(masticerror.KindConflict,
			"compact log: a snapshot at index %d exists", c.snapshot.GetIndex())
	}
	term, _ := c.log.term(index)
	list := c.membersAt(index)
	c.snapshot = &masticproto.Snapshot{
		Index:   index,
		Term:    term,
		Members: &masticproto.Members{Members: list.members},
		Data:    data,
	}
	for len(c.memberLists) > 1 && c.memberLists[1].index <= index {
		c.memberLists = c.memberLists[1:]
	}
	c.log.compact(c.log.retainedFrom(index, c.retainedEntries, c.retainedBytes))
	return c.snapshot, nil
}
