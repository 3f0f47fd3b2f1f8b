package masticroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

// leavingStep is something that a host learns of server a, and what it knows afterwards.
type leavingStep struct {
	after time.Duration
	// lists is the incarnation that the view shows, states that under which a request was sent whose answer states that the
	// server is leaving, and answers the one that answered a check.
	lists, states, answers string
	// takes reports that the server takes requests, unverified that a check is made.
	takes, unverified bool
}

// TestLeavingEndsWithTheListingOfARestart: a server that had stated after its restart that it is leaving, and before the list showed the
// restart, got requests again once the list did. What a former process stated still ends with it.
func TestLeavingEndsWithTheListingOfARestart(t *testing.T) {
	const soon, late = 10 * time.Millisecond, 5 * time.Second
	for _, x := range []struct {
		name  string
		steps []leavingStep
	}{
		{"the listed process states it and restarts", []leavingStep{
			{states: "1", unverified: true},
			{after: soon, answers: "1"},
			{after: late, lists: "2", unverified: true},
			{after: soon, answers: "2", takes: true},
			{after: late, takes: true},
		}},
		{"the new process states it before the list shows it", []leavingStep{
			{states: "1", unverified: true},
			{after: soon, answers: "2"},
			{after: late, lists: "2"},
			{after: late, answers: "2"},
			{after: soon, lists: "3", unverified: true},
			{after: soon, answers: "3", takes: true},
		}},
		{"it restarts twice before the list shows it", []leavingStep{
			{states: "1", unverified: true},
			{after: soon, answers: "3"},
			{after: late, lists: "2", unverified: true},
			{after: soon, answers: "3", unverified: true},
			{after: late, lists: "3"},
		}},
		{"no check is answered before the list shows the restart", []leavingStep{
			{states: "1", unverified: true},
			{after: late, lists: "2", unverified: true},
			{after: soon, answers: "1", unverified: true},
			{after: soon, answers: "2", takes: true},
		}},
		{"the check of the new process states it too", []leavingStep{
			{states: "1", unverified: true},
			{after: late, lists: "2", unverified: true},
			{after: soon, states: "2", unverified: true},
			{after: soon, answers: "2"},
			{after: late, answers: "2"},
		}},
		{"a check long after the statement", []leavingStep{
			{states: "1", unverified: true},
			{after: late, answers: "2"},
			{after: late, lists: "2", unverified: true},
			{after: soon, answers: "2", takes: true},
		}},
		{"the answer to a former assignment", []leavingStep{
			{lists: "2", takes: true},
			{states: "1", unverified: true},
			{after: soon, answers: "2", takes: true},
		}},
		{"a process that was taken for the leaving one goes on", []leavingStep{
			{states: "1", unverified: true},
			{after: soon, answers: "2"},
			{after: late, lists: "2"},
			{after: leavingTimeout, unverified: true},
			{after: soon, answers: "2", takes: true},
		}},
		{"the leaving process is listed for long", []leavingStep{
			{states: "1", unverified: true},
			{after: soon, answers: "2"},
			{after: late, lists: "2"},
			{after: soon, states: "2"},
			{after: 2 * leavingTimeout},
		}},
		{"each answer to a check states it", []leavingStep{
			{states: "1", unverified: true},
			{after: soon, states: "1", answers: "1"},
			{after: late, lists: "2", unverified: true},
			{after: soon, states: "2", answers: "2", unverified: true},
			{after: soon, states: "2", answers: "2"},
		}},
		{"a check that was sent before the statement", []leavingStep{
			{states: "1", unverified: true},
			{answers: "1", unverified: true},
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.UnixMilli(1_800_000_000_000)
			r, list := restartedServer()
			WithVerifiedLeaving()(r)
			list("1", now)
			for i, s := range x.steps {
				now = now.Add(s.after)
				if s.lists != "" {
					list(s.lists, now)
				}
				if s.states != "" {
					r.ObserveNotice(now, "a", s.states, true, time.Time{})
				}
				if s.answers != "" {
					// What the answer to a check states is observed when it has come, after the check was sent.
					r.ObserveCheck("a", s.answers, now.Add(-time.Microsecond))
				}
				c.Check(r.noticeOf("a").Allows(now), qt.Equals, s.takes, qt.Commentf("step %d", i))
				c.Check(len(r.Unverified(now)) == 1, qt.Equals, s.unverified, qt.Commentf("step %d", i))
			}
		})
	}
}

// TestUnlistedServerIsNotVerified checks that a server is checked only while it is listed, and also when the list shows that it is leaving.
func TestUnlistedServerIsNotVerified(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	r, list := restartedServer()
	WithVerifiedLeaving()(r)
	list("1", now)
	r.ObserveNotice(now, "a", "1", true, time.Time{})
	r.SetView(masticview.View{})
	c.Check(r.Unverified(now), qt.HasLen, 0)
	list("1", now)
	c.Check(r.Unverified(now), qt.HasLen, 1)

	r.SetView(masticview.View{}.WithServer(masticview.Server{Name: "b", Kind: masticview.ServerService, Service: "desk", State: masticview.ServerLeaving, Incarnation: "1"}))
	r.ObserveNotice(now, "b", "1", true, time.Time{})
	c.Check(r.Unverified(now), qt.HasLen, 0, qt.Commentf("the list says so too"))
	c.Check(r.noticeOf("b").Leaving(), qt.IsTrue)
}

// TestUnverifiedServerIsLost checks that a restart ends what a server stated where nobody checks it.
func TestUnverifiedServerIsLost(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	r, list := restartedServer()
	list("1", now)
	r.ObserveNotice(now, "a", "1", true, time.Time{})
	c.Check(r.Unverified(now), qt.HasLen, 0)
	list("2", now)
	c.Check(r.noticeOf("a").Allows(now), qt.IsTrue)
	_, changed := r.ObserveNotice(now, "a", "1", true, time.Time{})
	c.Check(changed, qt.IsFalse)
}
