package masticrollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// decideUntilFinal decides each quarter second, with one host that reports nothing but the step that it applies, and returns
// the final rollout.
func decideUntilFinal(c *qt.C, servers Servers, change func(s *Situation, at time.Duration)) masticview.Rollout {
	start := time.Unix(1_000, 0)
	r := masticview.Rollout{Service: "huvo", Target: "v2", OrderedAt: start, StepAt: start, Deadline: start.Add(12 * time.Second), Step: masticview.RolloutWait, Sequence: 1, FirstSequence: 1}
	e := NewEvidence(r)
	for at := time.Duration(0); at < 12*time.Second; at += 250 * time.Millisecond {
		now := start.Add(at)
		e.Add(now, "h", "1", &masticproto.RolloutEvidence{Service: "huvo", FirstSequence: 1, Sequence: r.Sequence})
		s := Situation{Rollout: r, Servers: servers, Evidence: e, Heard: true, Confirmed: e.Confirmed(now, r.Sequence, []string{"h"}, time.Second)}
		if change != nil {
			change(&s, at)
		}
		if d := Decide(now, DefaultBounds, s); d.Changed {
			c.Assert(d.Next.Sequence, qt.Equals, r.Sequence+1)
			r = d.Next
		}
		if r.Step.Final() {
			return r
		}
	}
	c.Fatalf("no final step before the deadline: %+v", r)
	return r
}

// TestRolloutsWithoutEvidence guards against a rollout that has no end before its deadline, and against one that is completed
// although the new servers can't carry the traffic.
func TestRolloutsWithoutEvidence(t *testing.T) {
	both := Servers{Targets: []string{"a", "b"}, Others: 2, TargetSlots: 12, OtherSlots: 12}
	for _, x := range []struct {
		name    string
		servers Servers
		change  func(s *Situation, at time.Duration)
		step    masticview.RolloutStep
		reason  string
	}{
		{"no traffic", both, nil, masticview.RolloutCompleted, "nothing runs on other versions"},
		{"the version is never listed", Servers{Others: 2, OtherSlots: 12}, nil, masticview.RolloutRolledBack, "deadline: no server of the target version is listed"},
		{"no other version is listed", Servers{Targets: []string{"a"}, TargetSlots: 6}, nil, masticview.RolloutCompleted, "nothing runs on other versions"},
		{
			"too few new servers",
			Servers{Targets: []string{"a"}, Others: 2, TargetSlots: 1, OtherSlots: 12},
			nil,
			masticview.RolloutRolledBack, "deadline: the servers of the target version have 1 slots, the others 12",
		},
		{
			"the document loses the service", both, func(s *Situation, at time.Duration) { s.Removed = at > 3*time.Second },
			masticview.RolloutRolledBack, "the document has no such service",
		},
		{
			"a host does not report", both, func(s *Situation, _ time.Duration) { s.Heard = false },
			masticview.RolloutRolledBack, "deadline: not all hosts have reported what they counted",
		},
		{
			"a host does not confirm", both, func(s *Situation, _ time.Duration) { s.Confirmed = false },
			masticview.RolloutRolledBack, "deadline: 0 requests run on other versions, or hosts have not confirmed the step",
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			r := decideUntilFinal(c, x.servers, x.change)
			c.Assert([2]string{string(r.Step), r.Reason}, qt.Equals, [2]string{string(x.step), x.reason})
		})
	}
}

// TestEvidenceIsCumulative guards against answers that are counted twice: after a report that is sent again, arrives late or is
// of another rollout, and after a host was restarted.
func TestEvidenceIsCumulative(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	e := NewEvidence(masticview.Rollout{Service: "huvo", OrderedAt: now, Deadline: now.Add(12 * time.Second), FirstSequence: 3})
	report := func(incarnation string, first uint64, answers int64) {
		now = now.Add(700 * time.Millisecond)
		e.Add(now, "h", incarnation, &masticproto.RolloutEvidence{
			FirstSequence: first, Sequence: 4, Requests: 2 * answers, Exposed: answers,
			Rows: []*masticproto.RolloutRow{{Route: "r", Server: "a", Bad: answers - 1, Good: []int64{0, 1}}, {Route: "r", Good: []int64{answers}}},
		})
	}
	report("1", 3, 5)
	report("1", 3, 7)
	report("1", 3, 7)
	report("1", 3, 6)
	report("1", 2, 90)
	report("2", 3, 10)
	got := e.Totals(now)
	c.Assert([]int64{got.Requests, got.Exposed, got.Answers, got.Bad, got.OtherAnswers}, qt.DeepEquals, []int64{34, 17, 17, 15, 17})
}
