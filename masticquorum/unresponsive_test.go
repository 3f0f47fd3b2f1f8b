package masticquorum

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
)

// TestUnresponsiveMembersAreRemoved checks that a member is removed after more than its timeout without an answer, the one
// unresponsive for the longest time first, and only while a quorum answers and enough voters remain.
func TestUnresponsiveMembersAreRemoved(t *testing.T) {
	const minVoters = 3
	type member struct {
		name string
		// unresponsiveFor is the time since its last answer; zero for a member that answers.
		unresponsiveFor time.Duration
		learner         bool
		replaced        bool
	}
	for _, x := range []struct {
		name    string
		members []member
		removed string
	}{
		{"all answer", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e"}}, ""},
		{"one is unresponsive", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e", unresponsiveFor: 2600 * time.Millisecond}}, "e"},
		{"not yet", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e", unresponsiveFor: 2500 * time.Millisecond}}, ""},
		{
			"the longest unresponsive first",
			[]member{{name: "b"}, {name: "c"}, {name: "d", unresponsiveFor: 11 * time.Second}, {name: "e", unresponsiveFor: 12 * time.Second}},
			"e",
		},
		{
			"too few answer",
			[]member{{name: "b"}, {name: "c", unresponsiveFor: 11 * time.Second}, {name: "d", unresponsiveFor: 11 * time.Second}},
			"",
		},
		{
			"a voter with another data folder does not answer",
			[]member{{name: "b"}, {name: "c", replaced: true}, {name: "d", unresponsiveFor: 11 * time.Second}},
			"",
		},
		{"too few remain", []member{{name: "b"}, {name: "c", unresponsiveFor: 11 * time.Second}}, ""},
		{
			"learners do not count as voters",
			[]member{{name: "b"}, {name: "c", learner: true}, {name: "d", unresponsiveFor: 11 * time.Second}},
			"",
		},
		{"an even group", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e"}, {name: "f", unresponsiveFor: 2600 * time.Millisecond}}, "f"},
		{"not yet in an even group", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e"}, {name: "f", unresponsiveFor: 2500 * time.Millisecond}}, ""},
		{"a learner, not yet", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "f", unresponsiveFor: 9 * time.Second, learner: true}}, ""},
		{"too few answer in an even group", []member{{name: "b"}, {name: "c", unresponsiveFor: 3 * time.Second}, {name: "d", unresponsiveFor: 3 * time.Second}}, ""},
		{"an unresponsive learner", []member{{name: "b"}, {name: "c"}, {name: "d", unresponsiveFor: 11 * time.Second, learner: true}}, "d"},
		{
			"a learner beside a voter that has to remain",
			[]member{{name: "b"}, {name: "c", unresponsiveFor: 12 * time.Second}, {name: "d", unresponsiveFor: 11 * time.Second, learner: true}},
			"d",
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.UnixMilli(1_000_000)
			var peers []PeerStatus
			for _, m := range x.members {
				peers = append(peers, PeerStatus{
					ID: m.name, Voter: !m.learner, Responsive: m.unresponsiveFor == 0, StorageReplaced: m.replaced, AnsweredAt: now.Add(-m.unresponsiveFor),
				})
			}
			c.Assert(longestUnresponsive(now, peers, minVoters), qt.Equals, x.removed)
		})
	}
}

// unresponsiveGroup is the leader h0 of a group of five, of which h1 to h4 answer at once unless they are silent.
type unresponsiveGroup struct {
	core   *Core
	now    time.Time
	silent map[string]bool
	// answers are those that the leader has not received yet.
	answers []*masticproto.QuorumMessage
}

func newUnresponsiveGroup(c *qt.C, silent ...*masticproto.SilentMember) *unresponsiveGroup {
	g := &unresponsiveGroup{now: time.UnixMilli(1_000_000), silent: map[string]bool{}}
	var members []*masticproto.Member
	for _, id := range []string{"h0", "h1", "h2", "h3", "h4"} {
		members = append(members, &masticproto.Member{Id: id, Voter: true, Storage: "s" + id})
	}
	core, err := New(WithID("h0"), WithStorageIncarnation("sh0"), WithMembers(members), WithStartTime(g.now),
		WithElectionTimeout(300*time.Millisecond), WithHeartbeatInterval(100*time.Millisecond))
	c.Assert(err, qt.IsNil)
	g.core = core
	core.Step(g.now, &masticproto.QuorumMessage{Kind: masticproto.MessageKind_MESSAGE_APPEND, From: "h4", To: "h0", Storage: "sh4", Term: 1, Silent: silent})
	g.process()
	return g
}

// process sends the pending messages and answers those to hosts that are not silent.
func (g *unresponsiveGroup) process() {
	for {
		r, pending := g.core.Ready()
		if !pending {
			return
		}
		for _, m := range r.Messages {
			if answer := g.answer(m); answer != nil {
				g.answers = append(g.answers, answer)
			}
		}
		g.core.Advance(r)
	}
}

func (g *unresponsiveGroup) answer(m *masticproto.QuorumMessage) *masticproto.QuorumMessage {
	if g.silent[m.GetTo()] {
		return nil
	}
	a := &masticproto.QuorumMessage{From: m.GetTo(), To: "h0", Storage: "s" + m.GetTo(), Term: m.GetTerm(), Round: m.GetRound()}
	switch m.GetKind() {
	case masticproto.MessageKind_MESSAGE_PRE_VOTE:
		a.Kind = masticproto.MessageKind_MESSAGE_PRE_VOTE_ANSWER
	case masticproto.MessageKind_MESSAGE_VOTE:
		a.Kind = masticproto.MessageKind_MESSAGE_VOTE_ANSWER
	case masticproto.MessageKind_MESSAGE_APPEND:
		a.Kind = masticproto.MessageKind_MESSAGE_APPEND_ANSWER
		a.Index = m.GetIndex() + uint64(len(m.GetEntries()))
	default:
		return nil
	}
	return a
}

// run advances the time by d in steps of 10 ms.
func (g *unresponsiveGroup) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(10 * time.Millisecond)
		if !g.now.Before(g.core.NextDeadline()) {
			g.core.Tick(g.now)
		}
		due := g.answers
		g.answers = nil
		for _, m := range due {
			g.core.Step(g.now, m)
		}
		g.process()
	}
}

func (g *unresponsiveGroup) runUntilLeader() {
	for g.core.role != roleLeader {
		g.run(10 * time.Millisecond)
	}
}

// TestNewLeaderRemovesNoMemberBeforeTimeout checks that a leader measures the silence of a member of which it knows nothing from the
// start of its leadership, so that it removes none that had no leader to answer.
func TestNewLeaderRemovesNoMemberBeforeTimeout(t *testing.T) {
	c := qt.New(t)
	g := newUnresponsiveGroup(c)
	g.silent["h1"] = true
	g.runUntilLeader()
	g.run(g.core.leaderSince.Add(voterTimeout).Sub(g.now))
	c.Assert(g.core.UnresponsiveMember(g.now, 3), qt.Equals, "")
	g.run(20 * time.Millisecond)
	c.Assert(g.core.UnresponsiveMember(g.now, 3), qt.Equals, "h1")
}

// TestNewLeaderGoesOnFromSilenceOfFormerLeader: a new leader knew nothing of voters that had not answered the one before it. One that answers the new
// leader has ended its silence.
func TestNewLeaderGoesOnFromSilenceOfFormerLeader(t *testing.T) {
	c := qt.New(t)
	g := newUnresponsiveGroup(c, &masticproto.SilentMember{Id: "h1", SilenceMillis: 9000}, &masticproto.SilentMember{Id: "h2", SilenceMillis: 9000})
	g.silent["h1"] = true
	g.runUntilLeader()
	c.Assert(g.core.UnresponsiveMember(g.now, 3), qt.Equals, "")
	g.run(observationTimeouts * 300 * time.Millisecond)
	c.Assert(g.core.UnresponsiveMember(g.now, 3), qt.Equals, "h1")
	c.Assert(g.core.silent, qt.HasLen, 1)
	c.Assert(g.core.silent[0].GetSilenceMillis() > 9000, qt.IsTrue)
}

// TestHostThatIsAddedAgainIsRemovedAtOnce: a member that a former leader had named as silent, and that was removed and added again, would count as silent
// since then and be removed before it could answer.
func TestHostThatIsAddedAgainIsRemovedAtOnce(t *testing.T) {
	c := qt.New(t)
	g := newUnresponsiveGroup(c, &masticproto.SilentMember{Id: "h1", SilenceMillis: uint64(learnerTimeout.Milliseconds())})
	g.silent["h1"] = true
	g.runUntilLeader()
	g.run(observationTimeouts * 300 * time.Millisecond)
	c.Assert(g.core.ProposeMemberChange(g.now, Change{Kind: ChangeRemove, ID: "h1"}), qt.IsNil)
	g.process()
	g.run(20 * time.Millisecond)
	c.Assert(g.core.ProposeMemberChange(g.now, Change{Kind: ChangeAdd, ID: "h1"}), qt.IsNil)
	c.Assert(g.core.UnresponsiveMember(g.now, 3), qt.Equals, "")
}

// TestVoterThatAnswersLateIsRemoved: a voter whose answers came after the end of their round, as it had little processor time or a slow
// disk, counted as one that is gone.
func TestVoterThatAnswersLateIsRemoved(t *testing.T) {
	c := qt.New(t)
	g := newUnresponsiveGroup(c)
	g.runUntilLeader()
	g.silent["h1"] = true
	for range 100 {
		g.run(100 * time.Millisecond)
		g.core.Step(g.now, &masticproto.QuorumMessage{
			Kind: masticproto.MessageKind_MESSAGE_APPEND_ANSWER, From: "h1", To: "h0", Storage: "sh1", Term: g.core.term,
			Index: g.core.commit, Round: g.core.round - min(g.core.round, 6),
		})
		c.Assert(g.core.UnresponsiveMember(g.now, 3), qt.Equals, "")
	}
	c.Assert(g.core.Status(g.now).Peers[0].Responsive, qt.IsFalse)
	g.run(voterTimeout + 10*time.Millisecond)
	c.Assert(g.core.UnresponsiveMember(g.now, 3), qt.Equals, "h1")
}

// TestLeaderWithoutProcessorTimeRemovesVoters: a leader that had not run for longer than the timeout counted that time as the silence of those
// voters whose answers it had not read yet, or passed it on when it had stepped down.
func TestLeaderWithoutProcessorTimeRemovesVoters(t *testing.T) {
	c := qt.New(t)
	g := newUnresponsiveGroup(c)
	g.runUntilLeader()
	g.run(time.Second)
	g.now = g.now.Add(4 * time.Second)
	c.Assert(g.core.UnresponsiveMember(g.now, 3), qt.Equals, "")
	g.core.Tick(g.now)
	c.Assert(g.core.UnresponsiveMember(g.now, 3), qt.Equals, "")
	c.Assert(g.core.silentSince, qt.HasLen, 0)
}
