package masticquorum

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

// memberList is the list of members that holds from an index on. It is immutable.
type memberList struct {
	index   uint64
	members []*masticproto.Member
}

// find returns the member called id, or nil.
func (l memberList) find(id string) *masticproto.Member {
	for _, m := range l.members {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// voters returns the members that vote.
func (l memberList) voters() []*masticproto.Member {
	var voters []*masticproto.Member
	for _, m := range l.members {
		if m.GetVoter() {
			voters = append(voters, m)
		}
	}
	return voters
}

// bound reports whether the storage incarnation of every voter is known.
func (l memberList) bound() bool {
	for _, m := range l.voters() {
		if m.GetStorage() == "" {
			return false
		}
	}
	return true
}

// quorum returns the number of voters that commit an entry or hold a lease.
func (l memberList) quorum() int { return len(l.voters())/2 + 1 }

// electionQuorum returns the number of votes that elect a leader. As long as a voter's
// storage is not bound, a vote may come from a folder that replaced a lost one, so all are needed.
func (l memberList) electionQuorum() int {
	if !l.bound() {
		return len(l.voters())
	}
	return l.quorum()
}

// isVoter reports whether id, speaking from storage, is a voter.
func (l memberList) isVoter(id, storage string) bool {
	m := l.find(id)
	if m == nil || !m.GetVoter() {
		return false
	}
	return m.GetStorage() == "" || m.GetStorage() == storage
}

// with returns a list at index in which m replaces the member of its name or is added.
func (l memberList) with(index uint64, m *masticproto.Member) memberList {
	members := slices.Clone(l.members)
	for i := range members {
		if members[i].GetId() == m.GetId() {
			members[i] = m
			return memberList{index: index, members: members}
		}
	}
	return memberList{index: index, members: append(members, m)}
}

// without returns a list at index that lacks the member called id.
func (l memberList) without(index uint64, id string) memberList {
	members := slices.DeleteFunc(slices.Clone(l.members), func(m *masticproto.Member) bool {
		return m.GetId() == id
	})
	return memberList{index: index, members: members}
}

// decodeMembers reads the list of an entry of kind ENTRY_MEMBERS.
func decodeMembers(e *masticproto.Entry) (memberList, error) {
	var list masticproto.Members
	if err := proto.Unmarshal(e.GetData(), &list); err != nil {
		return memberList{}, err
	}
	return memberList{index: e.GetIndex(), members: list.GetMembers()}, nil
}

func (l memberList) encode() ([]byte, error) {
	return proto.Marshal(&masticproto.Members{Members: l.members})
}

// current returns the list in force: that of the last member entry, committed or not.
func (c *Core) current() memberList { return c.lists[len(c.lists)-1] }

// listAt returns the list that holds at index.
func (c *Core) listAt(index uint64) memberList {
	for i := len(c.lists) - 1; i > 0; i-- {
		if c.lists[i].index <= index {
			return c.lists[i]
		}
	}
	return c.lists[0]
}

// forgetLists drops the lists of entries from index on.
func (c *Core) forgetLists(index uint64) {
	for len(c.lists) > 1 && c.current().index >= index {
		c.lists = c.lists[:len(c.lists)-1]
	}
}
