package masticquorum

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

// memberList is the immutable list of members that is in effect from a log index on.
type memberList struct {
	index   uint64
	members []*masticproto.Member
}

// find returns the member with that ID, or nil.
func (l memberList) find(id string) *masticproto.Member {
	for _, m := range l.members {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

func (l memberList) voters() []*masticproto.Member {
	var voters []*masticproto.Member
	for _, m := range l.members {
		if m.GetVoter() {
			voters = append(voters, m)
		}
	}
	return voters
}

// storageBound reports whether the list has the storage incarnation of every voter.
func (l memberList) storageBound() bool {
	for _, m := range l.voters() {
		if m.GetStorage() == "" {
			return false
		}
	}
	return true
}

// quorum returns the number of voters needed to commit an entry or to extend the leader lease.
func (l memberList) quorum() int { return len(l.voters())/2 + 1 }

// dataFolder identifies the data folder of a host.
type dataFolder struct {
	// storage is its incarnation.
	storage string
	// founder reports that it may count for a voter that is not bound to a folder: the host was given the initial list with
	// it, or may be given the list again.
	founder bool
}

// folder returns this host's data folder. Unless the initial list is given once, a replaced folder can't be told from the first one.
func (c *Core) folder() dataFolder {
	return dataFolder{storage: c.storage, founder: len(c.bootstrap) > 0 || !c.membersGivenOnce}
}

// folderOf returns the data folder of the sender of a message.
func (c *Core) folderOf(m *masticproto.QuorumMessage) dataFolder {
	return dataFolder{storage: m.GetStorage(), founder: m.GetFounder() || !c.membersGivenOnce}
}

// electionQuorum returns the number of votes needed to elect a leader. While the storage of a
// voter is not bound, its vote may come from a new data folder that replaced a lost one, so
// every voter has to vote. If the initial list is given once, such a vote does not count.
func (c *Core) electionQuorum() int {
	list := c.currentMembers()
	if !c.membersGivenOnce && !list.storageBound() {
		return len(list.voters())
	}
	return list.quorum()
}

// isVoter reports whether id is a voter that is bound to the given data folder, or one that is not bound and has the folder of a founder.
func (l memberList) isVoter(id string, f dataFolder) bool {
	m := l.find(id)
	if m == nil || !m.GetVoter() {
		return false
	}
	if m.GetStorage() == "" {
		return f.founder
	}
	return m.GetStorage() == f.storage
}

// with returns a list at index in which m replaces the member with the same ID or is added.
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

// without returns a list at index without the member with that ID.
func (l memberList) without(index uint64, id string) memberList {
	members := slices.DeleteFunc(slices.Clone(l.members), func(m *masticproto.Member) bool {
		return m.GetId() == id
	})
	return memberList{index: index, members: members}
}

// decodeMembers decodes the member list of an entry of kind ENTRY_MEMBERS.
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

// currentMembers returns the list in effect: that of the last member entry in the log,
// committed or not.
func (c *Core) currentMembers() memberList { return c.memberLists[len(c.memberLists)-1] }

// membersAt returns the list in effect at index.
func (c *Core) membersAt(index uint64) memberList {
	for i := len(c.memberLists) - 1; i > 0; i-- {
		if c.memberLists[i].index <= index {
			return c.memberLists[i]
		}
	}
	return c.memberLists[0]
}

// truncateMemberLists removes the lists of the entries from index on. The list at the latest
// snapshot always stays.
func (c *Core) truncateMemberLists(index uint64) {
	for len(c.memberLists) > 1 && c.currentMembers().index >= index {
		c.memberLists = c.memberLists[:len(c.memberLists)-1]
	}
}
