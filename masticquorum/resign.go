package masticquorum

import (
	"time"

	"masticladder/masticproto"
)

// resignSpread is the part of the election jitter over which the voters that a leader
// released begin to seek election.
const resignSpread = 8

// Resign gives up leadership before a shutdown and tells the other members, so that they
// elect a leader without waiting for the election timeout. This host does not seek
// election for three election timeouts.
func (c *Core) Resign(now time.Time) {
	if c.role == roleLeader {
		c.sendResign()
		c.becomeFollower(now, c.term, "")
	}
	if !c.soleVoter() {
		c.electionDeadline = now.Add(3*c.electionTimeout + c.jitter())
	}
}

func (c *Core) sendResign() {
	for _, m := range c.current().members {
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

// releasePromise ends the promise to the leader that resigned. It never leads its term again,
// and the leases of earlier terms had ended when it was elected.
func (c *Core) releasePromise(now time.Time, m *masticproto.QuorumMessage) {
	if m.GetTerm() != c.term || m.GetFrom() != c.leader {
		return
	}
	c.leader = ""
	c.promiseUntil = now
	c.electionDeadline = now.Add(c.jitter() / resignSpread)
}
