package masticcontrol

import (
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
	peers := []masticquorum.PeerStatus{{ID: "b", Voter: true, Responsive: true}, {ID: "c", Voter: true}, {ID: "d", Voter: true, Responsive: true}}
	c.Assert(s.longestUnresponsive(now, peers, 3), qt.Equals, "")
	c.Assert(s.longestUnresponsive(now.Add(unresponsiveTimeout), peers, 3), qt.Equals, "")
	c.Assert(s.longestUnresponsive(now.Add(unresponsiveTimeout+time.Millisecond), peers, 3), qt.Equals, "c")

	s = lastAnswers{"e": now.Add(-2 * unresponsiveTimeout)}
	neverAnswered := []masticquorum.PeerStatus{{ID: "b", Voter: true, Responsive: true}, {ID: "c", Voter: true}, {ID: "e", Voter: true}}
	c.Assert(s.longestUnresponsive(now, neverAnswered, 3), qt.Equals, "")
}
