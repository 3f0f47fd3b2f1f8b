package masticquorum

import (
	"time"

	"masticladder/masticproto"
)

// candidate identifies the receiver of a vote. A host that lost its data folder has a new
// storage incarnation and is a different candidate.
type candidate struct {
	id      string
	storage string
}

// campaign starts a pre-vote. A sole voter skips it and starts the election at once; a host
// that is not a voter only waits for the next election deadline.
func (c *Core) campaign(now time.Time) {
	c.resetElectionDeadline(now)
	c.leader = ""
	if !c.currentMembers().isVoter(c.id, c.folder()) {
		return
	}
	if c.soleVoter() {
		c.becomeCandidate(now)
		return
	}
	c.role = rolePreCandidate
	c.votes = map[string]dataFolder{c.id: c.folder()}
	c.requestVotes(masticproto.MessageKind_MESSAGE_PRE_VOTE, c.term+1)
}

// becomeCandidate starts a new term, votes for this host and requests the other votes.
func (c *Core) becomeCandidate(now time.Time) {
	c.resetElectionDeadline(now)
	c.role = roleCandidate
	c.leader = ""
	c.term++
	c.vote = candidate{id: c.id, storage: c.storage}
	c.votes = map[string]dataFolder{c.id: c.folder()}
	if c.elected() {
		c.becomeLeader(now)
		return
	}
	c.requestVotes(masticproto.MessageKind_MESSAGE_VOTE, c.term)
}

func (c *Core) requestVotes(kind masticproto.MessageKind, term uint64) {
	for _, m := range c.currentMembers().voters() {
		if m.GetId() == c.id {
			continue
		}
		c.send(&masticproto.QuorumMessage{
			Kind:    kind,
			To:      m.GetId(),
			Term:    term,
			Index:   c.log.lastIndex(),
			LogTerm: c.log.lastTerm(),
		})
	}
}

// elected reports whether the granted votes or pre-votes reach the election quorum.
func (c *Core) elected() bool {
	granted := 0
	for id, folder := range c.votes {
		if c.currentMembers().isVoter(id, folder) {
			granted++
		}
	}
	return granted >= c.electionQuorum()
}

// handlePreVote answers whether this host would vote for the sender. It changes neither term nor vote.
func (c *Core) handlePreVote(now time.Time, m *masticproto.QuorumMessage) {
	grant := c.mayGrantVote(now) && m.GetTerm() > c.term && c.log.upToDate(m.GetIndex(), m.GetLogTerm())
	term := m.GetTerm()
	if !grant {
		term = c.term
	}
	c.sendVoteAnswer(m, masticproto.MessageKind_MESSAGE_PRE_VOTE_ANSWER, term, grant)
}

// handleVote grants or refuses a vote. While this host must not vote, it ignores the request
// and does not adopt its term.
func (c *Core) handleVote(now time.Time, m *masticproto.QuorumMessage) {
	if !c.mayGrantVote(now) {
		return
	}
	if m.GetTerm() > c.term {
		c.becomeFollower(now, m.GetTerm(), "")
	}
	sender := candidate{id: m.GetFrom(), storage: m.GetStorage()}
	grant := m.GetTerm() == c.term &&
		(c.vote == candidate{} || c.vote == sender) &&
		c.log.upToDate(m.GetIndex(), m.GetLogTerm())
	if grant {
		c.role = roleFollower
		c.vote = sender
		c.resetElectionDeadline(now)
	}
	c.sendVoteAnswer(m, masticproto.MessageKind_MESSAGE_VOTE_ANSWER, c.term, grant)
}

func (c *Core) sendVoteAnswer(m *masticproto.QuorumMessage, kind masticproto.MessageKind, term uint64, grant bool) {
	c.send(&masticproto.QuorumMessage{
		Kind:      kind,
		To:        m.GetFrom(),
		ToStorage: m.GetStorage(),
		Term:      term,
		Reject:    !grant,
	})
}

// mayGrantVote reports whether this host may grant votes and pre-votes. A follower may not
// while the lease of the current leader can rely on it. A leader may not either: it steps down
// by itself when a quorum no longer answers.
func (c *Core) mayGrantVote(now time.Time) bool {
	return c.role != roleLeader && !now.Before(c.refuseVotesUntil)
}

// handleVoteAnswer counts the answer to a vote or pre-vote request.
func (c *Core) handleVoteAnswer(now time.Time, m *masticproto.QuorumMessage) {
	pre := m.GetKind() == masticproto.MessageKind_MESSAGE_PRE_VOTE_ANSWER
	if m.GetReject() {
		if m.GetTerm() > c.term {
			c.becomeFollower(now, m.GetTerm(), "")
		}
		return
	}
	switch {
	case pre && c.role == rolePreCandidate && m.GetTerm() == c.term+1:
		c.votes[m.GetFrom()] = c.folderOf(m)
		if c.elected() {
			c.becomeCandidate(now)
		}
	case !pre && c.role == roleCandidate && m.GetTerm() == c.term:
		c.votes[m.GetFrom()] = c.folderOf(m)
		if c.elected() {
			c.becomeLeader(now)
		}
	}
}
