package masticquorum

import (
	"time"

	"masticladder/masticproto"
)

// candidate is who gets a vote. A host that lost its folder is another candidate.
type candidate struct {
	id      string
	storage string
}

// campaign seeks a pre-vote, or the election itself where no other vote is needed.
func (c *Core) campaign(now time.Time) {
	c.resetElection(now)
	c.leader = ""
	if !c.current().isVoter(c.id, c.storage) {
		return
	}
	if c.soleVoter() {
		c.becomeCandidate(now)
		return
	}
	c.role = rolePreCandidate
	c.votes = map[string]string{c.id: c.storage}
	c.requestVotes(masticproto.MessageKind_MESSAGE_PRE_VOTE, c.term+1)
}

// becomeCandidate enters a new term and asks for votes.
func (c *Core) becomeCandidate(now time.Time) {
	c.resetElection(now)
	c.role = roleCandidate
	c.leader = ""
	c.term++
	c.vote = candidate{id: c.id, storage: c.storage}
	c.votes = map[string]string{c.id: c.storage}
	if c.elected() {
		c.becomeLeader(now)
		return
	}
	c.requestVotes(masticproto.MessageKind_MESSAGE_VOTE, c.term)
}

func (c *Core) requestVotes(kind masticproto.MessageKind, term uint64) {
	for _, m := range c.current().voters() {
		if m.GetId() == c.id {
			continue
		}
		c.send(&masticproto.QuorumMessage{
			Kind:    kind,
			To:      m.GetId(),
			Term:    term,
			Index:   c.log.last(),
			LogTerm: c.log.lastTerm(),
		})
	}
}

// elected reports whether enough voters granted their votes.
func (c *Core) elected() bool {
	granted := 0
	for id, storage := range c.votes {
		if c.current().isVoter(id, storage) {
			granted++
		}
	}
	return granted >= c.current().electionQuorum()
}

// answerPreVote tells whether this host would vote for the sender.
func (c *Core) answerPreVote(now time.Time, m *masticproto.QuorumMessage) {
	grant := c.mayElect(now) && m.GetTerm() > c.term && c.log.upToDate(m.GetIndex(), m.GetLogTerm())
	term := m.GetTerm()
	if !grant {
		term = c.term
	}
	c.sendVoteAnswer(m, masticproto.MessageKind_MESSAGE_PRE_VOTE_ANSWER, term, grant)
}

// answerVote grants or refuses a vote. A request during the promise to the present leader
// changes nothing, not even the term.
func (c *Core) answerVote(now time.Time, m *masticproto.QuorumMessage) {
	if !c.mayElect(now) {
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
		c.resetElection(now)
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

// mayElect reports whether this host is free to help to elect a leader. A leader is not:
// it steps down by itself when a quorum no longer answers.
func (c *Core) mayElect(now time.Time) bool {
	return c.role != roleLeader && !now.Before(c.promiseUntil)
}

// countVote counts an answer to a request for votes or pre-votes.
func (c *Core) countVote(now time.Time, m *masticproto.QuorumMessage) {
	pre := m.GetKind() == masticproto.MessageKind_MESSAGE_PRE_VOTE_ANSWER
	if m.GetReject() {
		if m.GetTerm() > c.term {
			c.becomeFollower(now, m.GetTerm(), "")
		}
		return
	}
	switch {
	case pre && c.role == rolePreCandidate && m.GetTerm() == c.term+1:
		c.votes[m.GetFrom()] = m.GetStorage()
		if c.elected() {
			c.becomeCandidate(now)
		}
	case !pre && c.role == roleCandidate && m.GetTerm() == c.term:
		c.votes[m.GetFrom()] = m.GetStorage()
		if c.elected() {
			c.becomeLeader(now)
		}
	}
}
