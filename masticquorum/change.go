package masticquorum

import (
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// ChangeKind is a kind of member change.
type ChangeKind int

const (
	// ChangeAdd adds a learner.
	ChangeAdd ChangeKind = iota + 1
	// ChangePromote makes a caught-up learner a voter and binds its storage incarnation.
	ChangePromote
	// ChangeDemote makes a voter a learner, which is needed after it lost its data folder.
	ChangeDemote
	// ChangeRemove removes a member.
	ChangeRemove
)

// Change is a change of a single member.
type Change struct {
	Kind ChangeKind
	ID   string
	// Address is the address of an added learner; other kinds ignore it.
	Address string
}

// ProposeMemberChange appends a member change, which takes effect at once. The previous change and
// the leader's first entry of the term have to be committed before. A leader cannot demote or
// remove itself, nor make a change that leaves fewer responsive voters than a quorum. A voter
// counts as responsive for up to an election timeout after it has lost its data folder, so
// a removal can still leave no quorum: add a member before removing one.
// The error kinds are notLeader, conflict (try again), noQuorum, notFound and badRequest.
func (c *Core) ProposeMemberChange(now time.Time, change Change) error {
	if c.role != roleLeader {
		return masticerror.New(masticerror.KindNotLeader, "%s does not lead; %q does", c.id, c.leader)
	}
	if c.commit < c.termStart || c.currentMembers().index > c.commit {
		return masticerror.New(masticerror.KindConflict, "an earlier entry is not yet committed")
	}
	list, err := c.withChange(now, change)
	if err != nil {
		return err
	}
	if !c.quorumResponsive(now, list) {
		return masticerror.New(masticerror.KindNoQuorum, "the change leaves no quorum of responsive voters")
	}
	data, err := list.encode()
	if err != nil {
		return masticerror.Wrap(err, masticerror.KindInternal, "encode members")
	}
	c.appendEntry(&masticproto.Entry{
		Index: list.index,
		Term:  c.term,
		Kind:  masticproto.EntryKind_ENTRY_MEMBERS,
		Data:  data,
	})
	c.syncProgress(now)
	c.maybeCommit()
	return nil
}

// withChange returns the current member list with the change made.
func (c *Core) withChange(now time.Time, change Change) (memberList, error) {
	index := c.log.lastIndex() + 1
	list := c.currentMembers()
	m := list.find(change.ID)
	switch {
	case change.ID == "" || change.Kind < ChangeAdd || change.Kind > ChangeRemove:
		return list, masticerror.New(masticerror.KindBadRequest, "the member change has no kind or no ID")
	case change.Kind == ChangeAdd && m != nil:
		return list, masticerror.New(masticerror.KindConflict, "%s is a member", change.ID)
	case change.Kind == ChangeAdd:
		return list.with(index, &masticproto.Member{Id: change.ID, Address: change.Address}), nil
	case m == nil:
		return list, masticerror.New(masticerror.KindNotFound, "%s is not a member", change.ID)
	case change.Kind == ChangePromote:
		return c.withPromoted(now, m)
	case change.ID == c.id:
		return list, masticerror.New(masticerror.KindBadRequest, "a leader cannot demote or remove itself")
	case change.Kind == ChangeRemove:
		return list.without(index, change.ID), nil
	}
	return c.withDemoted(m)
}

// withPromoted returns the current member list with m as a voter, bound to the storage
// incarnation that has caught up.
func (c *Core) withPromoted(now time.Time, m *masticproto.Member) (memberList, error) {
	p := c.progress[m.GetId()]
	if m.GetVoter() {
		return c.currentMembers(), masticerror.New(masticerror.KindConflict, "%s is a voter", m.GetId())
	}
	if !c.caughtUp(now, p) {
		return c.currentMembers(), masticerror.New(masticerror.KindConflict, "%s has not caught up", m.GetId())
	}
	v := proto.CloneOf(m)
	v.Voter = true
	v.Storage = p.storage
	return c.currentMembers().with(c.log.lastIndex()+1, v), nil
}

// withDemoted returns the current member list with m as a learner without a bound storage.
func (c *Core) withDemoted(m *masticproto.Member) (memberList, error) {
	if !m.GetVoter() {
		return c.currentMembers(), masticerror.New(masticerror.KindConflict, "%s is a learner", m.GetId())
	}
	l := proto.CloneOf(m)
	l.Voter = false
	l.Storage = ""
	return c.currentMembers().with(c.log.lastIndex()+1, l), nil
}

// quorumResponsive reports whether enough voters of list are responsive to commit an entry.
func (c *Core) quorumResponsive(now time.Time, list memberList) bool {
	answering := 0
	for _, m := range list.voters() {
		p := c.progress[m.GetId()]
		if m.GetId() == c.id || (p != nil && list.isVoter(p.id, p.dataFolder) && c.responsive(now, p)) {
			answering++
		}
	}
	return answering >= list.quorum()
}
