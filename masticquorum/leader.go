package masticquorum

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// leaderState is the part of the state that only a leader has.
type leaderState struct {
	progress map[string]*progress
	// silent are the members that the heartbeats name as silent.
	silent            []*masticproto.SilentMember
	leaderSince       time.Time
	heartbeatDeadline time.Time
	round             uint64
	rounds            []heartbeatRound
	// termStart is the index of the first entry of the term.
	termStart uint64
	// uncommittedBytes is the size of the commands proposed in this term and not yet committed.
	uncommittedBytes int
}

// becomeLeader appends the first entry of the term. Committing it also commits the entries of
// earlier terms, which a leader must not commit by counting replicas alone.
func (c *Core) becomeLeader(now time.Time) {
	first := c.termEntry()
	c.role = roleLeader
	c.leader = c.id
	c.votes = nil
	c.leaderState = leaderState{
		progress:    make(map[string]*progress),
		leaderSince: now,
		termStart:   first.GetIndex(),
	}
	c.syncProgress(now)
	c.silentSince = nil
	c.appendEntry(first)
	c.broadcastHeartbeat(now)
}

// termEntry returns the first entry of the term. It is empty if the storage of every voter is
// bound. Otherwise it is the member list that binds each voter to the storage from which it
// voted. Voters that have not voted stay unbound.
func (c *Core) termEntry() *masticproto.Entry {
	e := &masticproto.Entry{Index: c.log.lastIndex() + 1, Term: c.term, Kind: masticproto.EntryKind_ENTRY_EMPTY}
	if c.currentMembers().storageBound() {
		return e
	}
	list := c.currentMembers()
	for _, m := range c.currentMembers().voters() {
		vote, voted := c.votes[m.GetId()]
		if !voted || !list.isVoter(m.GetId(), vote) {
			continue
		}
		b := proto.CloneOf(m)
		b.Storage = vote.storage
		list = list.with(e.GetIndex(), b)
	}
	if data, err := list.encode(); err == nil {
		e.Kind = masticproto.EntryKind_ENTRY_MEMBERS
		e.Data = data
	}
	return e
}

// tickLeader steps down if no quorum has answered in time, and sends the heartbeats that are due.
func (c *Core) tickLeader(now time.Time) {
	c.excludeDelay(now)
	if !now.Before(c.quorumDeadline(now)) {
		c.becomeFollower(now, c.term, "")
		return
	}
	if !now.Before(c.heartbeatDeadline) {
		c.broadcastHeartbeat(now)
	}
}

// broadcastHeartbeat starts a heartbeat round and sends it to every other member.
func (c *Core) broadcastHeartbeat(now time.Time) {
	c.startRound(now)
	c.silent = c.silentMembers(now)
	for _, m := range c.currentMembers().members {
		if p := c.progress[m.GetId()]; p != nil {
			c.sendHeartbeat(now, p)
		}
	}
}

// Propose appends a command to the log and returns its index and term. The proposal is lost
// if another entry is committed at that index. The error kinds are notLeader and overloaded.
func (c *Core) Propose(_ time.Time, data []byte) (index, term uint64, err error) {
	if c.role != roleLeader {
		return 0, 0, masticerror.New(masticerror.KindNotLeader, "%s does not lead; %q does", c.id, c.leader)
	}
	if c.uncommittedBytes+len(data) > c.maxUncommittedBytes {
		return 0, 0, masticerror.New(masticerror.KindOverloaded, "too many uncommitted entries")
	}
	e := &masticproto.Entry{
		Index: c.log.lastIndex() + 1,
		Term:  c.term,
		Kind:  masticproto.EntryKind_ENTRY_COMMAND,
		Data:  data,
	}
	c.appendEntry(e)
	c.uncommittedBytes += entryBytes(e)
	return e.GetIndex(), e.GetTerm(), nil
}

// maybeCommit advances the commit index to the highest index that a quorum of voters has
// stored durably, if the entry there is of the current term.
func (c *Core) maybeCommit() {
	index := c.quorumMatch()
	if t, ok := c.log.term(index); index <= c.commit || !ok || t != c.term {
		return
	}
	for _, e := range c.log.between(max(c.commit, c.termStart), index) {
		if e.GetKind() == masticproto.EntryKind_ENTRY_COMMAND {
			c.uncommittedBytes -= entryBytes(e)
		}
	}
	c.commit = index
}

// quorumMatch returns the highest index that a quorum of voters has stored durably.
func (c *Core) quorumMatch() uint64 {
	var matches []uint64
	for _, m := range c.currentMembers().voters() {
		matches = append(matches, c.voterMatch(m))
	}
	slices.Sort(matches)
	return matches[len(matches)-c.currentMembers().quorum()]
}

// voterMatch returns the highest index that m has stored durably. It returns 0 if m answers
// from a storage incarnation that is not the bound one.
func (c *Core) voterMatch(m *masticproto.Member) uint64 {
	if m.GetId() == c.id {
		return c.log.stable
	}
	if p := c.progress[m.GetId()]; p != nil && c.currentMembers().isVoter(m.GetId(), p.dataFolder) {
		return p.match
	}
	return 0
}
