package masticquorum

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// leadership is the state that only a leader has.
type leadership struct {
	progress          map[string]*progress
	since             time.Time
	heartbeatDeadline time.Time
	round             uint64
	rounds            []heartbeatRound
	// termStart is the index of the first entry of the term.
	termStart uint64
	// uncommittedBytes is the size of the entries proposed in this term and not yet committed.
	uncommittedBytes int
}

// becomeLeader starts the term with an entry of its own, which commits those of earlier terms.
func (c *Core) becomeLeader(now time.Time) {
	first := c.termEntry()
	c.role = roleLeader
	c.leader = c.id
	c.votes = nil
	c.leadership = leadership{
		progress:  make(map[string]*progress),
		since:     now,
		termStart: first.GetIndex(),
	}
	c.trackMembers()
	c.appendEntry(first)
	c.broadcastRound(now)
}

// termEntry returns the first entry of the term: empty, or the member list that
// binds the storage of each voter, all of which have voted.
func (c *Core) termEntry() *masticproto.Entry {
	e := &masticproto.Entry{Index: c.log.last() + 1, Term: c.term, Kind: masticproto.EntryKind_ENTRY_EMPTY}
	if c.current().bound() {
		return e
	}
	list := c.current()
	for _, m := range c.current().voters() {
		b := proto.CloneOf(m)
		b.Storage = c.votes[m.GetId()]
		list = list.with(e.GetIndex(), b)
	}
	if data, err := list.encode(); err == nil {
		e.Kind = masticproto.EntryKind_ENTRY_MEMBERS
		e.Data = data
	}
	return e
}

// tickLeader steps down without a quorum of answers, and sends heartbeats.
func (c *Core) tickLeader(now time.Time) {
	if !now.Before(c.quorumDeadline(now)) {
		c.becomeFollower(now, c.term, "")
		return
	}
	if !now.Before(c.heartbeatDeadline) {
		c.broadcastRound(now)
	}
}

// broadcastRound sends every member a heartbeat of a new round.
func (c *Core) broadcastRound(now time.Time) {
	c.startRound(now)
	for _, m := range c.current().members {
		if p := c.progress[m.GetId()]; p != nil {
			c.sendHeartbeat(now, p)
		}
	}
}

// Propose appends a command and returns its index and term. The proposal is lost if
// another entry is committed at the index. Its kinds of error are notLeader and overloaded.
func (c *Core) Propose(_ time.Time, data []byte) (index, term uint64, err error) {
	if c.role != roleLeader {
		return 0, 0, masticerror.New(masticerror.KindNotLeader, "%s does not lead; %q does", c.id, c.leader)
	}
	if c.uncommittedBytes+len(data) > c.maxUncommittedBytes {
		return 0, 0, masticerror.New(masticerror.KindOverloaded, "too many uncommitted entries")
	}
	e := &masticproto.Entry{
		Index: c.log.last() + 1,
		Term:  c.term,
		Kind:  masticproto.EntryKind_ENTRY_COMMAND,
		Data:  data,
	}
	c.appendEntry(e)
	c.uncommittedBytes += entryBytes(e)
	return e.GetIndex(), e.GetTerm(), nil
}

// maybeCommit commits what a quorum of voters has durably, if it is of this term.
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

// quorumMatch returns the highest index that a quorum of voters has durably.
func (c *Core) quorumMatch() uint64 {
	var matches []uint64
	for _, m := range c.current().voters() {
		matches = append(matches, c.voterMatch(m))
	}
	slices.Sort(matches)
	return matches[len(matches)-c.current().quorum()]
}

// voterMatch returns the highest index that m has durably; m counts only with its own storage.
func (c *Core) voterMatch(m *masticproto.Member) uint64 {
	if m.GetId() == c.id {
		return c.log.stable
	}
	if p := c.progress[m.GetId()]; p != nil && c.current().isVoter(m.GetId(), p.storage) {
		return p.match
	}
	return 0
}
