package masticcontrol

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticquorum"
)

// TestUnresponsiveMembersAreRemoved checks that a member is removed after more than
// unresponsiveTimeout without an answer, the one unresponsive for the longest time first, and
// only while enough voters answer.
func TestUnresponsiveMembersAreRemoved(t *testing.T) {
	const minVoters = 3
	type member struct {
		name string
		// unresponsiveFor is the time since its last answer; zero for a member that answers.
		unresponsiveFor time.Duration
		learner         bool
	}
	for _, x := range []struct {
		name    string
		members []member
		removed string
	}{
		{"all answer", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e"}}, ""},
		{"one is unresponsive", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e", unresponsiveFor: 11 * time.Second}}, "e"},
		{"not yet", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e", unresponsiveFor: 10 * time.Second}}, ""},
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
			"learners do not count as voters",
			[]member{{name: "b"}, {name: "c", learner: true}, {name: "d", unresponsiveFor: 11 * time.Second}},
			"",
		},
		{"a voter of an even group", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e"}, {name: "f", unresponsiveFor: 2600 * time.Millisecond}}, "f"},
		{"not yet in an even group", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e"}, {name: "f", unresponsiveFor: 2500 * time.Millisecond}}, ""},
		{"a learner beside an even group", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "f", unresponsiveFor: 9 * time.Second, learner: true}}, ""},
		{"too few answer in an even group", []member{{name: "b"}, {name: "c", unresponsiveFor: 3 * time.Second}, {name: "d", unresponsiveFor: 3 * time.Second}}, ""},
		{"an unresponsive learner", []member{{name: "b"}, {name: "c"}, {name: "d", unresponsiveFor: 11 * time.Second, learner: true}}, "d"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.UnixMilli(1_000_000)
			s := lastAnswers{}
			var peers []masticquorum.PeerStatus
			for _, m := range x.members {
				s[m.name] = now.Add(-m.unresponsiveFor)
				peers = append(peers, masticquorum.PeerStatus{ID: m.name, Voter: !m.learner, Responsive: m.unresponsiveFor == 0})
			}
			c.Assert(s.longestUnresponsive(now, peers, minVoters), qt.Equals, x.removed)
		})
	}
}

// TestNewLeaderRemovesNoMemberBeforeTimeout checks that a leader measures a member's time without
// an answer from its first check, and that a member that has never answered does not count as an
// answering voter.
func TestNewLeaderRemovesNoMemberBeforeTimeout(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	s := lastAnswers{}
	peers := []masticquorum.PeerStatus{{ID: "b", Voter: true, Responsive: true}, {ID: "c", Voter: true}, {ID: "d", Voter: true, Responsive: true}, {ID: "e", Voter: true, Responsive: true}}
	c.Assert(s.longestUnresponsive(now, peers, 3), qt.Equals, "")
	c.Assert(s.longestUnresponsive(now.Add(unresponsiveTimeout), peers, 3), qt.Equals, "")
	c.Assert(s.longestUnresponsive(now.Add(unresponsiveTimeout+time.Millisecond), peers, 3), qt.Equals, "c")

	s = lastAnswers{"e": now.Add(-2 * unresponsiveTimeout)}
	neverAnswered := []masticquorum.PeerStatus{{ID: "b", Voter: true, Responsive: true}, {ID: "c", Voter: true}, {ID: "e", Voter: true}}
	c.Assert(s.longestUnresponsive(now, neverAnswered, 3), qt.Equals, "")
}

// voterGroup is a control group whose leader is killed again and again. Its members are alive or gone for good.
type voterGroup struct {
	alive   map[string]bool
	answers lastAnswers
}

// peers returns the members but the leader.
func (g *voterGroup) peers(leader string) []masticquorum.PeerStatus {
	var out []masticquorum.PeerStatus
	for _, id := range slices.Sorted(maps.Keys(g.alive)) {
		if id != leader {
			out = append(out, masticquorum.PeerStatus{ID: id, Voter: true, Responsive: g.alive[id]})
		}
	}
	return out
}

// hasQuorum reports whether enough voters are alive.
func (g *voterGroup) hasQuorum() bool {
	alive := 0
	for _, a := range g.alive {
		if a {
			alive++
		}
	}
	return alive > len(g.alive)/2
}

// TestReplacedLeadersLeaveGroupWithoutQuorum: each new leader waited anew before it removed a voter that was gone for good. Where leaders were
// replaced more often than that, the group kept all of them as voters and grew with each successor, until those that were gone were half of it.
func TestReplacedLeadersLeaveGroupWithoutQuorum(t *testing.T) {
	const (
		step     = 50 * time.Millisecond
		election = 800 * time.Millisecond
		// joined is the time from the loss of a leader until its successor at another address is a voter.
		joined = 2 * time.Second
	)
	for _, x := range []struct {
		voters, minVoters int
		every             time.Duration
	}{{5, 3, 9 * time.Second}, {5, 3, 5 * time.Second}, {3, 3, 9 * time.Second}, {9, 5, 5 * time.Second}, {6, 3, 5 * time.Second}} {
		c := qt.New(t)
		now := time.UnixMilli(1_000_000)
		g := &voterGroup{alive: map[string]bool{}}
		for i := range x.voters {
			g.alive[fmt.Sprint("m", i)] = true
		}
		for n := range 12 {
			leader := fmt.Sprint("m", n)
			g.alive[leader] = false
			c.Assert(g.hasQuorum(), qt.IsTrue, qt.Commentf("%+v: %d leaders are gone, voters %v", x, n+1, g.alive))
			successor, next := fmt.Sprint("m", n+x.voters), fmt.Sprint("m", n+1)
			g.answers = lastAnswers{}
			for at := election; at < x.every; at += step {
				if at == joined {
					g.alive[successor] = true
				}
				if id := g.answers.longestUnresponsive(now.Add(at), g.peers(next), x.minVoters); id != "" {
					delete(g.alive, id)
					delete(g.answers, id)
				}
			}
			now = now.Add(x.every)
			c.Assert(len(g.alive) <= x.voters+1, qt.IsTrue, qt.Commentf("%+v: voters %v", x, g.alive))
		}
	}
}

// TestLeaderWithoutProcessorTimeRemovesVoters: a leader that had not run for longer than the timeout counted that time as the silence of those
// voters whose answers it had not read yet.
func TestLeaderWithoutProcessorTimeRemovesVoters(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	peers := []masticquorum.PeerStatus{{ID: "b", Voter: true, Responsive: true}, {ID: "c", Voter: true, Responsive: true}, {ID: "d", Voter: true, Responsive: true}}
	s := lastAnswers{}
	c.Assert(s.longestUnresponsive(now, peers, 3), qt.Equals, "")
	peers[2].Responsive = false
	s.withoutGap(now, now.Add(maxCheckGap))
	s.withoutGap(now, now.Add(4*time.Second))
	now = now.Add(4 * time.Second)
	c.Assert(s.longestUnresponsive(now, peers, 3), qt.Equals, "")
	c.Assert(s.longestUnresponsive(now.Add(evenGroupTimeout+time.Millisecond), peers, 3), qt.Equals, "d")
}
