package masticquorum

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
)

func TestSoleVoterLeadsImmediately(t *testing.T) {
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

// isolate blocks the host's links to and from all hosts.
func (n *network) isolate(h *host) {
	for _, o := range n.hosts {
		n.blocked[[2]string{h.id, o.id}] = true
		n.blocked[[2]string{o.id, h.id}] = true
	}
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 0)
	n.run(5 * testElectionTimeout)
	old := n.leader()
	n.isolate(old)
	n.run(2 * testElectionTimeout)
	c.Assert(old.core.role, qt.Not(qt.Equals), roleLeader)
	_, _, err := old.core.Propose(n.now, nil)
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindNotLeader)
}

func TestResignedLeaderIsReplacedBeforeElectionTimeout(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 0)
	n.run(5 * testElectionTimeout)
	old := n.leader()
	old.core.Resign(n.clock(old))
	n.processReady(old)
	n.run(testElectionTimeout / 2)
	c.Assert(n.leader(), qt.IsNotNil)
	c.Assert(n.leader().id, qt.Not(qt.Equals), old.id)
	c.Assert(n.failure, qt.Equals, "")
}

func TestReconnectedFollowerDoesNotDisruptLeader(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 0)
	n.run(5 * testElectionTimeout)
	leader := n.leader()
	term := leader.core.term
	for _, h := range n.hosts {
		if h != leader {
			n.isolate(h)
			break
		}
	}
	n.run(20 * testElectionTimeout)
	clear(n.blocked)
	n.run(5 * testElectionTimeout)
	c.Assert(n.leader().id, qt.Equals, leader.id)
	c.Assert(leader.core.term, qt.Equals, term)
}

func (n *network) repairedWithThreeVoters() bool {
	return n.membershipIntact() && len(memberList{members: n.members}.voters()) == 3
}

// A host loses its data folder while the only other host with a committed entry is isolated.
// Right after its repair the other one loses its data folder too. The repair must not finish
// before the entry is on another host, or the second loss would lose the entry.
func TestSecondDiskLossRightAfterRepairLosesNoEntry(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		n := newNetwork(seed, 3, 0)
		n.run(5 * testElectionTimeout)
		n.isolate(n.hosts[1])
		n.propose("kept")
		n.run(testElectionTimeout)
		n.replaceDisk(n.hosts[0])
		clear(n.blocked)
		n.isolate(n.hosts[2])
		n.run(10 * testElectionTimeout)
		clear(n.blocked)
		for range 200 {
			n.run(testHeartbeatInterval)
			n.repair()
			if n.repairedWithThreeVoters() {
				break
			}
		}
		c.Assert(n.repairedWithThreeVoters(), qt.IsTrue)
		n.replaceDisk(n.hosts[2])
		n.healAndCheckProgress()
		c.Assert(n.failure, qt.Equals, "")
		c.Assert(n.repairedWithThreeVoters(), qt.IsTrue)
	}
}

// TestWholeLogIsAppliedAtOnce: a host that applied a log of a thousand entries after a restart sent no heartbeats meanwhile, and
// lost its leadership.
func TestWholeLogIsAppliedAtOnce(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 0)
	n.run(500 * time.Millisecond)
	const entries = 10 * maxCommittedEntries
	for range entries {
		n.propose("a")
	}
	n.run(time.Second)
	leader := n.leader()
	n.restart(leader)
	n.run(time.Second)
	core := leader.core
	core.delivered, core.applied = 0, 0
	for applied := 0; ; {
		r, _ := core.Ready()
		c.Assert(len(r.Committed) <= maxCommittedEntries, qt.IsTrue)
		applied += len(r.Committed)
		core.Advance(r)
		if !r.More {
			c.Assert(applied > entries, qt.IsTrue)
			return
		}
		c.Assert(r.Committed, qt.HasLen, maxCommittedEntries)
	}
}
