package masticquorum

import (
	"masticladder/masticerror"
	"masticladder/masticproto"
)

// Ready returns what the owner has to do and whether there is anything. Every Ready that
// reports something is followed by one Advance with the same value before the next Ready.
func (c *Core) Ready() (Ready, bool) {
	if c.role == roleLeader {
		c.replicate()
	}
	r := Ready{
		Entries:   c.log.between(c.log.stable, c.log.last()),
		Snapshot:  c.installed,
		Messages:  c.messages[:len(c.messages):len(c.messages)],
		Committed: c.log.between(c.handed, c.commit),
	}
	if c.hardChanged() {
		r.HardState = c.hardState()
	}
	some := r.HardState != nil || r.Snapshot != nil ||
		len(r.Entries)+len(r.Messages)+len(r.Committed) > 0
	return r, some
}

// Advance tells that the owner has done what r says.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.savedTerm = r.HardState.GetTerm()
		c.savedVote = candidate{id: r.HardState.GetVote(), storage: r.HardState.GetVoteStorage()}
		c.hardSaved = true
	}
	c.messages = c.messages[len(r.Messages):]
	if len(c.messages) == 0 {
		c.messages = nil
	}
	if r.Snapshot != nil {
		c.applied = max(c.applied, r.Snapshot.GetIndex())
	}
	if r.Snapshot == c.installed {
		c.installed = nil
	}
	if n := len(r.Committed); n > 0 {
		c.applied = max(c.applied, r.Committed[n-1].GetIndex())
		c.handed = max(c.handed, c.applied)
	}
	if n := len(r.Entries); n > 0 {
		c.log.setStable(r.Entries[n-1].GetIndex(), r.Entries[n-1].GetTerm())
	}
	if c.role == roleLeader {
		c.maybeCommit()
	}
}

// replicate sends every member what it lacks.
func (c *Core) replicate() {
	for _, m := range c.current().members {
		if p := c.progress[m.GetId()]; p != nil {
			c.sendAppends(p)
		}
	}
}

// hardChanged reports whether the hard state differs from the durable one.
func (c *Core) hardChanged() bool {
	if !c.hardSaved && len(c.bootstrap) > 0 {
		return true
	}
	return c.term != c.savedTerm || c.vote != c.savedVote
}

func (c *Core) hardState() *masticproto.HardState {
	h := &masticproto.HardState{Term: c.term, Vote: c.vote.id, VoteStorage: c.vote.storage}
	if len(c.bootstrap) > 0 {
		h.Bootstrap = &masticproto.Members{Members: c.bootstrap}
	}
	return h
}

// Compact takes data as the snapshot of the state at index, which has to be applied, and
// drops the log before it but for a tail. The owner stores the snapshot that it returns.
func (c *Core) Compact(index uint64, data []byte) (*masticproto.Snapshot, error) {
	if index > c.applied {
		return nil, masticerror.New(masticerror.KindBadRequest, "entry %d is not applied", index)
	}
	if index <= c.snapshot.GetIndex() {
		return nil, masticerror.New(masticerror.KindConflict, "a snapshot at %d exists", c.snapshot.GetIndex())
	}
	term, _ := c.log.term(index)
	list := c.listAt(index)
	c.snapshot = &masticproto.Snapshot{
		Index:   index,
		Term:    term,
		Members: &masticproto.Members{Members: list.members},
		Data:    data,
	}
	for len(c.lists) > 1 && c.lists[1].index <= index {
		c.lists = c.lists[1:]
	}
	if index > c.tailEntries {
		c.log.compact(index - c.tailEntries)
	}
	return c.snapshot, nil
}
