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
	// ChangePromote makes a learner that has caught up a voter and binds its storage.
	ChangePromote
	// ChangeDemote makes a voter a learner, as one that lost its data folder has to be.
	ChangeDemote
	// ChangeRemove removes a member.
	ChangeRemove
)

// Change is one change of the member list.
type Change struct {
	Kind ChangeKind
	ID   string
	// Address is that of an added learner.
	Address string
}

// ProposeMembers appends a member change, which is in force from then on. One change has
// to be committed, and the leader's first entry too, before the next. A leader cannot demote
// or remove itself, nor leave fewer voters responsive than a quorum. A voter that loses its
// folder within the same election timeout can still leave none, so add before you remove.
// Its kinds of error are notLeader, conflict (try again), noQuorum, notFound and badRequest.
func (c *Core) ProposeMembers(now time.Time, change Change) error {
	if c.role != roleLeader {
		return masticerror.New(masticerror.KindNotLeader, "%s does not lead; %q does", c.id, c.leader)
	}
	if c.commit < c.termStart || c.current().index > c.commit {
		return masticerror.New(masticerror.KindConflict, "an earlier entry is not yet committed")
	}
	list, err := c.changed(now, change)
	if err != nil {
		return err
	}
	if !c.reachable(now, list) {
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
	c.trackMembers()
	c.maybeCommit()
	return nil
}

// changed returns the list after a change.
func (c *Core) changed(now time.Time, change Change) (memberList, error) {
	index := c.log.last() + 1
	list := c.current()
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
		return c.promoted(now, m)
	case change.ID == c.id:
		return list, masticerror.New(masticerror.KindBadRequest, "a leader cannot demote or remove itself")
	case change.Kind == ChangeRemove:
		return list.without(index, change.ID), nil
	}
	return c.demoted(m)
}

// promoted returns the list in which m is a voter with the storage that it caught up with.
func (c *Core) promoted(now time.Time, m *masticproto.Member) (memberList, error) {
	p := c.progress[m.GetId()]
	if m.GetVoter() {
		return c.current(), masticerror.New(masticerror.KindConflict, "%s is a voter", m.GetId())
	}
	if !c.caughtUp(now, p) {
		return c.current(), masticerror.New(masticerror.KindConflict, "%s has not caught up", m.GetId())
	}
	v := proto.CloneOf(m)
	v.Voter = true
	v.Storage = p.storage
	return c.current().with(c.log.last()+1, v), nil
}

// demoted returns the list in which m is a learner without a bound storage.
func (c *Core) demoted(m *masticproto.Member) (memberList, error) {
	if !m.GetVoter() {
		return c.current(), masticerror.New(masticerror.KindConflict, "%s is a learner", m.GetId())
	}
	l := proto.CloneOf(m)
	l.Voter = false
	l.Storage = ""
	return c.current().with(c.log.last()+1, l), nil
}

// reachable reports whether enough voters of list answer to commit an entry.
func (c *Core) reachable(now time.Time, list memberList) bool {
	answering := 0
	for _, m := range list.voters() {
		p := c.progress[m.GetId()]
		if m.GetId() == c.id || (p != nil && list.isVoter(p.id, p.storage) && c.responsive(now, p)) {
			answering++
		}
	}
	return answering >= list.quorum()
}
