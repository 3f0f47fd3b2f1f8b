package masticquorum

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticladder/masticproto"
)

type role int

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// Core is one host's replica of one replicated log.
type Core struct {
	settings
	random    *rand.Rand
	term      uint64
	vote      candidate
	bootstrap []*masticproto.Member
	// savedTerm and savedVote are the durable term and vote. hardStateSaved reports that a
	// hard state, which includes bootstrap, is durable.
	savedTerm      uint64
	savedVote      candidate
	hardStateSaved bool
	leader         string
	role           role
	log            *entryLog
	// memberLists starts with the list at the latest snapshot, followed by the list of
	// each later member entry.
	memberLists []memberList
	commit      uint64
	// delivered is the highest index that the owner has applied or that pendingSnapshot covers.
	delivered       uint64
	applied         uint64
	snapshot        *masticproto.Snapshot
	pendingSnapshot *masticproto.Snapshot
	messages        []*masticproto.QuorumMessage
	// votes maps each host that granted its vote or pre-vote to its data folder.
	votes map[string]dataFolder
	// refuseVotesUntil is the time before which this host grants no vote or pre-vote,
	// because the leader's lease relies on it.
	refuseVotesUntil time.Time
	electionDeadline time.Time
	// silentSince has the time of the last answer of each member that the last leader named as silent. This host uses it once,
	// when it becomes the leader: a member that is added later counts from then.
	silentSince map[string]time.Time
	leaderState
}

// New returns a Core that continues from the stored state given in the options. It fails if
// an option is invalid, or the stored entries have a gap, do not match the snapshot or
// contain a member list that cannot be decoded.
func New(options ...Option) (*Core, error) {
	s, err := newSettings(options)
	if err != nil {
		return nil, err
	}
	l, err := newEntryLog(s.snapshot, s.entries)
	if err != nil {
		return nil, err
	}
	c := &Core{
		settings:  s,
		random:    rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(s.id))),
		term:      s.storedHardState.GetTerm(),
		vote:      candidate{id: s.storedHardState.GetVote(), storage: s.storedHardState.GetVoteStorage()},
		log:       l,
		commit:    s.snapshot.GetIndex(),
		delivered: s.snapshot.GetIndex(),
		applied:   s.snapshot.GetIndex(),
		snapshot:  s.snapshot,
	}
	c.entries = nil
	c.savedTerm = c.term
	c.savedVote = c.vote
	c.hardStateSaved = s.storedHardState != nil
	c.restoreBootstrap()
	if err := c.restoreMemberLists(); err != nil {
		return nil, err
	}
	c.refuseVotesUntil = s.start.Add(s.electionTimeout)
	c.resetElectionDeadline(s.start)
	if c.soleVoter() {
		c.electionDeadline = s.start
	}
	return c, nil
}

// restoreBootstrap sets the initial member list: the stored one, or the one from the
// options if this host has no stored state.
func (c *Core) restoreBootstrap() {
	c.bootstrap = c.storedHardState.GetBootstrap().GetMembers()
	fresh := c.storedHardState == nil && c.snapshot == nil && c.log.lastIndex() == 0
	if fresh {
		c.bootstrap = c.members
	}
}

// restoreMemberLists reads the member lists from the snapshot and the entries after it.
func (c *Core) restoreMemberLists() error {
	first := memberList{index: c.commit, members: c.bootstrap}
	if c.snapshot != nil {
		first.members = c.snapshot.GetMembers().GetMembers()
	}
	c.memberLists = []memberList{first}
	for _, e := range c.log.between(c.commit, c.log.lastIndex()) {
		if e.GetKind() != masticproto.EntryKind_ENTRY_MEMBERS {
			continue
		}
		l, err := decodeMembers(e)
		if err != nil {
			return err
		}
		c.memberLists = append(c.memberLists, l)
	}
	return nil
}

// Tick handles the deadlines that have passed by now: it sends heartbeats, steps down or
// starts an election.
func (c *Core) Tick(now time.Time) {
	if c.role == roleLeader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) {
		return
	}
	c.campaign(now)
}

// Step handles a message from another member. It ignores messages for another group, host
// or storage incarnation.
func (c *Core) Step(now time.Time, m *masticproto.QuorumMessage) {
	if m.GetGroup() != c.group || m.GetTo() != c.id || m.GetFrom() == c.id {
		return
	}
	if m.GetToStorage() != "" && m.GetToStorage() != c.storage {
		return
	}
	switch m.GetKind() {
	case masticproto.MessageKind_MESSAGE_PRE_VOTE:
		c.handlePreVote(now, m)
	case masticproto.MessageKind_MESSAGE_VOTE:
		c.handleVote(now, m)
	case masticproto.MessageKind_MESSAGE_PRE_VOTE_ANSWER, masticproto.MessageKind_MESSAGE_VOTE_ANSWER:
		c.handleVoteAnswer(now, m)
	case masticproto.MessageKind_MESSAGE_APPEND, masticproto.MessageKind_MESSAGE_SNAPSHOT:
		c.handleLeaderMessage(now, m)
	case masticproto.MessageKind_MESSAGE_APPEND_ANSWER, masticproto.MessageKind_MESSAGE_SNAPSHOT_ANSWER:
		c.handleAppendAnswer(now, m)
	case masticproto.MessageKind_MESSAGE_RESIGN:
		c.handleResign(now, m)
	}
}

// NextDeadline returns the time at which Tick is due.
func (c *Core) NextDeadline() time.Time {
	if c.role != roleLeader {
		return c.electionDeadline
	}
	if d := c.quorumDeadline(c.heartbeatDeadline); d.Before(c.heartbeatDeadline) {
		return d
	}
	return c.heartbeatDeadline
}

// Status returns the state of the core as of now.
func (c *Core) Status(now time.Time) Status {
	s := Status{
		ID:            c.id,
		Term:          c.term,
		Leader:        c.leader,
		Leading:       c.role == roleLeader,
		Commit:        c.commit,
		Applied:       c.applied,
		LastIndex:     c.log.lastIndex(),
		SnapshotIndex: c.snapshot.GetIndex(),
		Members:       c.currentMembers().members,
		Voter:         c.currentMembers().isVoter(c.id, c.folder()),
		ChangePending: c.currentMembers().index > c.commit,
	}
	if s.Leading {
		s.LeaseUntil = c.leaseUntil(now)
		s.LeaseHeld = c.applied >= c.termStart && now.Before(s.LeaseUntil)
		s.Peers = c.peerStatus(now)
	}
	return s
}

// becomeFollower makes this host a follower of leader, which is empty if unknown. It adopts
// term if that is later than its own.
func (c *Core) becomeFollower(now time.Time, term uint64, leader string) {
	if term > c.term {
		c.term = term
		c.vote = candidate{}
	}
	if c.role == roleLeader {
		c.recordSilence(now, c.silentMembers(now))
	}
	if c.role != roleFollower {
		c.role = roleFollower
		c.resetElectionDeadline(now)
	}
	c.leader = leader
	c.votes = nil
	c.leaderState = leaderState{}
}

func (c *Core) resetElectionDeadline(now time.Time) {
	c.electionDeadline = now.Add(c.electionTimeout + c.electionJitter())
}

// electionJitter returns a random duration of at most one election timeout.
func (c *Core) electionJitter() time.Duration {
	return time.Duration(c.random.Int64N(int64(c.electionTimeout))) + 1
}

// soleVoter reports whether this host is the only voter. A leader cannot remove or demote
// itself, so no other host can be leader while this host's log has it as the only voter.
func (c *Core) soleVoter() bool {
	return len(c.currentMembers().voters()) == 1 && c.currentMembers().isVoter(c.id, c.folder())
}

// send queues a message until the next Ready.
func (c *Core) send(m *masticproto.QuorumMessage) {
	m.Group = c.group
	m.From = c.id
	m.Storage = c.storage
	m.Founder = len(c.bootstrap) > 0
	c.messages = append(c.messages, m)
}
