package masticquorum

import (
	"time"

	"masticladder/masticproto"
)

// resignJitterDivisor shortens the election jitter after the leader resigned: voters start
// their elections within electionTimeout/resignJitterDivisor.
const resignJitterDivisor = 8

// Resign steps down before a shutdown and notifies the other members, so that they elect a
// leader without waiting for the election timeout. This host starts no election for three
// election timeouts, unless it is the sole voter.
func (c *Core) Resign(now time.Time) {
	if c.role == roleLeader {
		c.sendResign()
		c.becomeFollower(now, c.term, "")
	}
	if !c.soleVoter() {
		c.electionDeadline = now.Add(3*c.electionTimeout + c.electionJitter())
	}
}

func (c *Core) sendResign() {
	for _, m := range c.currentMembers().members {
		if m.GetId() == c.id {
			continue
		}
		c.send(&masticproto.QuorumMessage{
			Kind: masticproto.MessageKind_MESSAGE_RESIGN,
			To:   m.GetId(),
			Term: c.term,
		})
	}
}

// handleResign lets this host grant votes at once after its leader resigned. This is safe: the
// sender never leads in that term again, and the leases of earlier terms had ended when it was
// elected.
func (c *Core) handleResign(now time.Time, m *masticproto.QuorumMessage) {
	if m.GetTerm() != c.term || m.GetFrom() != c.leader {
		return
	}
	c.leader = ""
	c.refuseVotesUntil = now
	c.electionDeadline = now.Add(c.electionJitter() / resignJitterDivisor)
}
