package masticquorum

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
)

func TestSoleVoterLeadsAtOnce(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 1, 0)
	n.run(time.Millisecond)
	c.Assert(n.hosts[0].core.Status(n.now).LeaseHeld, qt.IsTrue)
	n.propose("a")
	n.restart(n.hosts[0])
	n.run(time.Millisecond)
	c.Assert(n.hosts[0].core.Status(n.now).LeaseHeld, qt.IsTrue)
	c.Assert(n.hosts[0].applied, qt.HasLen, 3)
	c.Assert(n.failure, qt.Equals, "")
}

func TestThreeVotersCommit(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 1)
	n.run(500 * time.Millisecond)
	c.Assert(n.leader(), qt.IsNotNil)
	for range 10 {
		n.propose("a")
	}
	n.run(100 * time.Millisecond)
	c.Assert(n.committed, qt.HasLen, 11)
	for _, h := range n.hosts[:3] {
		c.Assert(h.applied, qt.HasLen, 11)
	}
	c.Assert(n.failure, qt.Equals, "")
}

// isolate cuts a host off in both directions.
func (n *network) isolate(h *host) {
	for _, o := range n.hosts {
		n.blocked[[2]string{h.id, o.id}] = true
		n.blocked[[2]string{o.id, h.id}] = true
	}
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 0)
	n.run(5 * testElection)
	old := n.leader()
	n.isolate(old)
	n.run(2 * testElection)
	c.Assert(old.core.role, qt.Not(qt.Equals), roleLeader)
	_, _, err := old.core.Propose(n.now, nil)
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindNotLeader)
}

func TestResignedLeaderIsReplacedBeforeTheTimeout(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 0)
	n.run(5 * testElection)
	old := n.leader()
	old.core.Resign(n.clock(old))
	n.drive(old)
	n.run(testElection / 2)
	c.Assert(n.leader(), qt.IsNotNil)
	c.Assert(n.leader().id, qt.Not(qt.Equals), old.id)
	c.Assert(n.failure, qt.Equals, "")
}

func TestReturningHostDoesNotDisturb(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 0)
	n.run(5 * testElection)
	leader := n.leader()
	term := leader.core.term
	for _, h := range n.hosts {
		if h != leader {
			n.isolate(h)
			break
		}
	}
	n.run(20 * testElection)
	clear(n.blocked)
	n.run(5 * testElection)
	c.Assert(n.leader().id, qt.Equals, leader.id)
	c.Assert(leader.core.term, qt.Equals, term)
}

func (n *network) repaired() bool {
	return n.intact() && len(memberList{members: n.members}.voters()) == 3
}

// A host loses its folder while the only other one with an entry is cut off; it is repaired,
// and right after that the other one loses its folder.
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		n := newNetwork(seed, 3, 0)
		n.run(5 * testElection)
		n.isolate(n.hosts[1])
		n.propose("kept")
		n.run(testElection)
		n.replaceDisk(n.hosts[0])
		clear(n.blocked)
		n.isolate(n.hosts[2])
		n.run(10 * testElection)
		clear(n.blocked)
		for range 200 {
			n.run(testHeartbeat)
			n.repair()
			if n.repaired() {
				break
			}
		}
		c.Assert(n.repaired(), qt.IsTrue)
		n.replaceDisk(n.hosts[2])
		n.settle()
		c.Assert(n.failure, qt.Equals, "")
		c.Assert(n.repaired(), qt.IsTrue)
	}
}
