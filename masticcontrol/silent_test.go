package masticcontrol

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticquorum"
)

// TestSilentMembersAreRemoved: a member is removed after more than silentSpan without an
// answer, the one that has been silent for longest first, and only while enough voters answer.
func TestSilentMembersAreRemoved(t *testing.T) {
	const kept = 3
	type member struct {
		name string
		// silentFor is the time since its last answer; zero is one that answers.
		silentFor time.Duration
		learner   bool
	}
	for _, x := range []struct {
		name    string
		members []member
		removed string
	}{
		{"all answer", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e"}}, ""},
		{"one is silent", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e", silentFor: 11 * time.Second}}, "e"},
		{"not yet", []member{{name: "b"}, {name: "c"}, {name: "d"}, {name: "e", silentFor: 10 * time.Second}}, ""},
		{
			"the longest first",
			[]member{{name: "b"}, {name: "c"}, {name: "d", silentFor: 11 * time.Second}, {name: "e", silentFor: 12 * time.Second}},
			"e",
		},
		{
			"too few answer",
			[]member{{name: "b"}, {name: "c", silentFor: 11 * time.Second}, {name: "d", silentFor: 11 * time.Second}},
			"",
		},
		{
			"learners do not count as voters",
			[]member{{name: "b"}, {name: "c", learner: true}, {name: "d", silentFor: 11 * time.Second}},
			"",
		},
		{"a silent learner", []member{{name: "b"}, {name: "c"}, {name: "d", silentFor: 11 * time.Second, learner: true}}, "d"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.UnixMilli(1_000_000)
			s := silences{}
			var peers []masticquorum.PeerStatus
			for _, m := range x.members {
				s[m.name] = now.Add(-m.silentFor)
				peers = append(peers, masticquorum.PeerStatus{ID: m.name, Voter: !m.learner, Responsive: m.silentFor == 0})
			}
			c.Assert(s.longest(now, peers, kept), qt.Equals, x.removed)
		})
	}
}

// TestNewLeaderRemovesNobodyAtOnce: a leader counts the silence of a member from when it
// first looked, and does not take one that it has never heard for one that answers.
func TestNewLeaderRemovesNobodyAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	s := silences{}
	peers := []masticquorum.PeerStatus{{ID: "b", Voter: true, Responsive: true}, {ID: "c", Voter: true}, {ID: "d", Voter: true, Responsive: true}}
	c.Assert(s.longest(now, peers, 3), qt.Equals, "")
	c.Assert(s.longest(now.Add(silentSpan), peers, 3), qt.Equals, "")
	c.Assert(s.longest(now.Add(silentSpan+time.Millisecond), peers, 3), qt.Equals, "c")

	s = silences{"e": now.Add(-2 * silentSpan)}
	unheard := []masticquorum.PeerStatus{{ID: "b", Voter: true, Responsive: true}, {ID: "c", Voter: true}, {ID: "e", Voter: true}}
	c.Assert(s.longest(now, unheard, 3), qt.Equals, "")
}
