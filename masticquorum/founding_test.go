package masticquorum

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticproto"
)

// newFounding returns a network of founders that are given the initial list once. Two more hosts are no members.
func newFounding(seed uint64, founders int) *network {
	n := newNetwork(seed, founders, 2)
	n.membersGivenOnce = true
	for _, h := range n.hosts {
		n.restart(h)
	}
	return n
}

// TestLostFounderPreventsFirstElection: one founder that was lost for good before the first election left the group without a leader for ever,
// since the election needed the vote of each.
func TestLostFounderPreventsFirstElection(t *testing.T) {
	for founders := 3; founders <= 5; founders++ {
		for seed := range uint64(20) {
			n := newFounding(seed, founders)
			lost := n.hosts[int(seed)%founders]
			n.run(time.Duration(seed%4) * testElectionTimeout / 4)
			lost.downUntil = n.now.Add(time.Hour)
			n.run(15 * testElectionTimeout)
			n.propose("first")
			n.run(testElectionTimeout)
			if n.failure != "" {
				t.Fatal(n.failure)
			}
			if len(n.committed) < 2 {
				t.Fatalf("%d founders, seed %d: no entry is committed without one of the founders", founders, seed)
			}
		}
	}
}

// TestFoundersElectTwoLeadersInOneTerm: a founder that lost its disk, and with it its vote, must not vote again in the same term. The network checks
// that a term has one leader and that what is committed stays.
func TestFoundersElectTwoLeadersInOneTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newFounding(rapid.Uint64().Draw(t, "seed"), 3)
		h := n.hosts[rapid.IntRange(0, 2).Draw(t, "lost")]
		n.lossRate = rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(t, "rate")
		n.run(time.Duration(rapid.IntRange(1, 600).Draw(t, "millis")) * time.Millisecond)
		n.replaceDisk(h)
		for i := range 12 {
			n.changeBlockedLinks(t, n.hosts[i%3])
			n.propose(fmt.Sprint(i))
			n.run(n.randomDuration(3 * testElectionTimeout))
			n.repair()
		}
		n.healAndCheckProgress()
		if n.failure != "" {
			t.Fatal(n.failure)
		}
	})
}

// TestVoteOfReplacedFolderFoundsGroup: a vote from another data folder than the first one of a founder, which may have voted otherwise, counted in
// the first election.
func TestVoteOfReplacedFolderFoundsGroup(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	var members []*masticproto.Member
	for _, id := range []string{"h0", "h1", "h2"} {
		members = append(members, &masticproto.Member{Id: id, Voter: true})
	}
	core, err := New(WithID("h0"), WithStorageIncarnation("s0"), WithMembers(members), WithMembersGivenOnce(), WithStartTime(now))
	c.Assert(err, qt.IsNil)
	now = core.NextDeadline()
	core.Tick(now)
	vote := &masticproto.QuorumMessage{Kind: masticproto.MessageKind_MESSAGE_PRE_VOTE_ANSWER, From: "h1", To: "h0", Storage: "s1", Term: 1}
	core.Step(now, vote)
	c.Assert(core.role, qt.Equals, rolePreCandidate)
	vote.Founder = true
	core.Step(now, vote)
	c.Assert(core.role, qt.Equals, roleCandidate)
}
