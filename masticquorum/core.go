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

// Core is one host's part in one replicated log.
type Core struct {
	settings
	random    *rand.Rand
	term      uint64
	vote      candidate
	bootstrap []*masticproto.Member
	// savedTerm and savedVote are durable, together with bootstrap where hardSaved is set.
	savedTerm uint64
	savedVote candidate
	hardSaved bool
	leader    string
	role      role
	log       *entryLog
	// lists has the members at the latest snapshot first, then those of each later member entry.
	lists     []memberList
	commit    uint64
	handed    uint64
	applied   uint64
	snapshot  *masticproto.Snapshot
	installed *masticproto.Snapshot
	messages  []*masticproto.QuorumMessage
	// votes has the storage incarnation of each host that granted its vote or pre-vote.
	votes map[string]string
	// promiseUntil is the time before which this host does not help to elect another leader.
	promiseUntil     time.Time
	electionDeadline time.Time
	leadership
}

// New returns a Core that continues from its stored state.
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
		settings: s,
		random:   rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(s.id))),
		term:     s.hard.GetTerm(),
		vote:     candidate{id: s.hard.GetVote(), storage: s.hard.GetVoteStorage()},
		log:      l,
		commit:   s.snapshot.GetIndex(),
		handed:   s.snapshot.GetIndex(),
		applied:  s.snapshot.GetIndex(),
		snapshot: s.snapshot,
	}
	c.entries = nil
	c.savedTerm = c.term
	c.savedVote = c.vote
	c.hardSaved = s.hard != nil
	c.restoreBootstrap()
	if err := c.restoreLists(); err != nil {
		return nil, err
	}
	c.promiseUntil = s.start.Add(s.electionTimeout)
	c.resetElection(s.start)
	if c.soleVoter() {
		c.electionDeadline = s.start
	}
	return c, nil
}

// restoreBootstrap takes the stored first member list, or that of the settings on a new host.
func (c *Core) restoreBootstrap() {
	c.bootstrap = c.hard.GetBootstrap().GetMembers()
	fresh := c.hard == nil && c.snapshot == nil && c.log.last() == 0
	if fresh {
		c.bootstrap = c.members
	}
}

// restoreLists derives the member lists from the snapshot and the entries after it.
func (c *Core) restoreLists() error {
	first := memberList{index: c.commit, members: c.bootstrap}
	if c.snapshot != nil {
		first.members = c.snapshot.GetMembers().GetMembers()
	}
	c.lists = []memberList{first}
	for _, e := range c.log.between(c.commit, c.log.last()) {
		if e.GetKind() != masticproto.EntryKind_ENTRY_MEMBERS {
			continue
		}
		l, err := decodeMembers(e)
		if err != nil {
			return err
		}
		c.lists = append(c.lists, l)
	}
	return nil
}

// Tick acts on the deadlines that have passed.
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

// Step handles a message of another member.
func (c *Core) Step(now time.Time, m *masticproto.QuorumMessage) {
	if m.GetGroup() != c.group || m.GetTo() != c.id || m.GetFrom() == c.id {
		return
	}
	if m.GetToStorage() != "" && m.GetToStorage() != c.storage {
		return
	}
	switch m.GetKind() {
	case masticproto.MessageKind_MESSAGE_PRE_VOTE:
		c.answerPreVote(now, m)
	case masticproto.MessageKind_MESSAGE_VOTE:
		c.answerVote(now, m)
	case masticproto.MessageKind_MESSAGE_PRE_VOTE_ANSWER, masticproto.MessageKind_MESSAGE_VOTE_ANSWER:
		c.countVote(now, m)
	case masticproto.MessageKind_MESSAGE_APPEND, masticproto.MessageKind_MESSAGE_SNAPSHOT:
		c.follow(now, m)
	case masticproto.MessageKind_MESSAGE_APPEND_ANSWER, masticproto.MessageKind_MESSAGE_SNAPSHOT_ANSWER:
		c.acknowledge(now, m)
	case masticproto.MessageKind_MESSAGE_RESIGN:
		c.releasePromise(now, m)
	}
}

// NextDeadline returns when Tick is needed next.
func (c *Core) NextDeadline() time.Time {
	if c.role != roleLeader {
		return c.electionDeadline
	}
	if d := c.quorumDeadline(c.heartbeatDeadline); d.Before(c.heartbeatDeadline) {
		return d
	}
	return c.heartbeatDeadline
}

// Status returns what the core knows of itself at now.
func (c *Core) Status(now time.Time) Status {
	s := Status{
		ID:            c.id,
		Term:          c.term,
		Leader:        c.leader,
		Leading:       c.role == roleLeader,
		Commit:        c.commit,
		Applied:       c.applied,
		LastIndex:     c.log.last(),
		SnapshotIndex: c.snapshot.GetIndex(),
		Members:       c.current().members,
		ChangePending: c.current().index > c.commit,
	}
	if s.Leading {
		s.LeaseUntil = c.leaseUntil(now)
		s.LeaseHeld = c.applied >= c.termStart && now.Before(s.LeaseUntil)
		s.Peers = c.peerStatus(now)
	}
	return s
}

// becomeFollower enters term, if it is a later one, and follows leader if it is known.
func (c *Core) becomeFollower(now time.Time, term uint64, leader string) {
	if term > c.term {
		c.term = term
		c.vote = candidate{}
	}
	if c.role != roleFollower {
		c.role = roleFollower
		c.resetElection(now)
	}
	c.leader = leader
	c.votes = nil
	c.leadership = leadership{}
}

func (c *Core) resetElection(now time.Time) {
	c.electionDeadline = now.Add(c.electionTimeout + c.jitter())
}

// jitter returns a random part of the election timeout.
func (c *Core) jitter() time.Duration {
	return time.Duration(c.random.Int64N(int64(c.electionTimeout))) + 1
}

// soleVoter reports whether this host alone decides. A leader cannot give up its own
// vote in a member change, so no other host can lead while a log says this.
func (c *Core) soleVoter() bool {
	return len(c.current().voters()) == 1 && c.current().isVoter(c.id, c.storage)
}

// send queues a message to a member.
func (c *Core) send(m *masticproto.QuorumMessage) {
	m.Group = c.group
	m.From = c.id
	m.Storage = c.storage
	c.messages = append(c.messages, m)
}
