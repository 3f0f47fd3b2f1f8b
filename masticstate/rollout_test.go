package masticstate

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// rolloutState applies orders and steps of rollouts to a State with the service huvo.
type rolloutState struct {
	c     *qt.C
	state *State
	index uint64
	at    int64
}

func newRolloutState(c *qt.C) *rolloutState {
	s := &rolloutState{c: c, state: New(), at: startMs}
	s.putDocument(1, &masticproto.Pool{Name: "huvo"}, &masticproto.Pool{Name: "store", Store: "10.0.0.1:1"})
	return s
}

func (s *rolloutState) apply(command *masticproto.Command) Result {
	s.index++
	command.AtUnixMs = s.at
	return s.state.Apply(s.index, command)
}

func (s *rolloutState) putDocument(number int64, pools ...*masticproto.Pool) {
	d := &masticproto.Document{Number: number, ContentDigest: []byte{byte(number)}, Pools: pools}
	r := s.apply(&masticproto.Command{Kind: &masticproto.Command_Document{Document: &masticproto.PutDocument{Document: d}}}).(DocumentResult)
	s.c.Assert(r.Err, qt.IsNil)
}

func (s *rolloutState) order(service, target string, deadlineMs int64) RolloutResult {
	return s.apply(&masticproto.Command{Kind: &masticproto.Command_OrderRollout{OrderRollout: &masticproto.OrderRollout{
		Service: service, Target: target, DeadlineMs: deadlineMs,
	}}}).(RolloutResult)
}

func (s *rolloutState) step(expected uint64, step masticview.RolloutStep) RolloutResult {
	next := masticview.Rollout{Service: "huvo", Target: "ignored", Step: step, Share: 30_000, Focus: []string{"a"}}
	return s.apply(&masticproto.Command{Kind: &masticproto.Command_StepRollout{StepRollout: &masticproto.StepRollout{
		Expected: expected, Next: next.ToProto(),
	}}}).(RolloutResult)
}

// restart replaces the state by one restored from its snapshot.
func (s *rolloutState) restart() {
	b := s.state.Snapshot()
	s.state = New()
	s.c.Assert(s.state.Restore(b), qt.IsNil)
	s.c.Assert(string(s.state.Snapshot()), qt.Equals, string(b))
}

func (s *rolloutState) rollout() masticview.Rollout {
	r, ok := s.state.View().Rollout("huvo")
	s.c.Assert(ok, qt.IsTrue)
	return r
}

// TestRolloutOrdersHaveDefinedResults guards against an accepted order that is rejected when it is sent again, and against a
// second rollout beside a running one.
func TestRolloutOrdersHaveDefinedResults(t *testing.T) {
	c := qt.New(t)
	s := newRolloutState(c)
	kind := func(r RolloutResult) masticerror.Kind { return masticerror.KindOf(r.Err) }
	c.Assert(kind(s.order("other", "v2", 12_000)), qt.Equals, masticerror.KindBadRequest)
	c.Assert(kind(s.order("store", "v2", 12_000)), qt.Equals, masticerror.KindBadRequest)
	c.Assert(kind(s.order("huvo", "", 12_000)), qt.Equals, masticerror.KindBadRequest)
	c.Assert(kind(s.order("huvo", "v2", 0)), qt.Equals, masticerror.KindBadRequest)
	c.Assert(kind(s.order("huvo", "v2", masticview.MaxRolloutSpan.Milliseconds()+1)), qt.Equals, masticerror.KindBadRequest)

	c.Assert(s.order("huvo", "not listed yet", 12_000).Err, qt.IsNil)
	first := s.rollout()
	c.Assert(first.Deadline.UnixMilli(), qt.Equals, s.at+12_000)
	s.at += 5_000
	again := s.order("huvo", "not listed yet", 12_000)
	c.Assert(again.Err, qt.IsNil)
	c.Assert(again.Repeated, qt.IsTrue)
	c.Assert(s.rollout(), qt.DeepEquals, first)
	c.Assert(kind(s.order("huvo", "v3", 12_000)), qt.Equals, masticerror.KindConflict)

	c.Assert(s.step(first.Sequence, masticview.RolloutRolledBack).Err, qt.IsNil)
	c.Assert(s.order("huvo", "not listed yet", 12_000).Repeated, qt.IsTrue)
	s.at += rolloutResendWindow.Milliseconds()
	c.Assert(s.order("huvo", "not listed yet", 12_000).Repeated, qt.IsFalse)
	c.Assert(s.rollout().Step, qt.Equals, masticview.RolloutWait)
	c.Assert(s.rollout().FirstSequence > first.Sequence, qt.IsTrue)

	c.Assert(s.step(s.rollout().Sequence, masticview.RolloutCompleted).Err, qt.IsNil)
	s.at += 1_000_000
	c.Assert(s.order("huvo", "not listed yet", 12_000).Repeated, qt.IsTrue)
	c.Assert(s.order("huvo", "v3", 12_000).Repeated, qt.IsFalse)
	c.Assert(s.rollout().Target, qt.Equals, "v3")
}

// TestRolloutOfRemovedServiceIsAcknowledgedAgain: the document may lose the service after its order was accepted.
func TestRolloutOfRemovedServiceIsAcknowledgedAgain(t *testing.T) {
	c := qt.New(t)
	s := newRolloutState(c)
	c.Assert(s.order("huvo", "v2", 12_000).Err, qt.IsNil)
	s.putDocument(2, &masticproto.Pool{Name: "another"})
	c.Assert(s.order("huvo", "v2", 12_000).Repeated, qt.IsTrue)
	c.Assert(masticerror.KindOf(s.order("huvo", "v3", 12_000).Err), qt.Equals, masticerror.KindBadRequest)
}

// TestRolloutStepsSurviveRestart guards against a step that is lost with the disk's state, is taken twice by two leaders or
// follows a final one.
func TestRolloutStepsSurviveRestart(t *testing.T) {
	c := qt.New(t)
	s := newRolloutState(c)
	view := s.state.View()
	c.Assert(s.order("huvo", "v2", 12_000).Err, qt.IsNil)
	for _, step := range []masticview.RolloutStep{masticview.RolloutObserve, masticview.RolloutLoad, masticview.RolloutConfirm, masticview.RolloutTrial, masticview.RolloutDrain, masticview.RolloutClose, masticview.RolloutCompleted} {
		before := s.rollout()
		s.at += 1_000
		c.Assert(s.step(before.Sequence, step).Err, qt.IsNil)
		c.Assert(s.rollout(), qt.DeepEquals, before.WithStep(s.state.Now(), step, 30_000, []string{"a"}, ""))
		c.Assert(masticerror.KindOf(s.step(before.Sequence, masticview.RolloutRolledBack).Err), qt.Equals, masticerror.KindConflict)
		deltas, ok := s.state.Deltas(view.Revision())
		c.Assert(ok, qt.IsTrue)
		for _, d := range deltas {
			var err error
			view, err = view.ApplyDelta(d)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(view.Rollouts(), qt.DeepEquals, s.state.View().Rollouts())
		s.restart()
		view = s.state.View()
	}
	c.Assert(masticerror.KindOf(s.step(s.rollout().Sequence, masticview.RolloutRolledBack).Err), qt.Equals, masticerror.KindConflict)
	c.Assert(s.rollout().Step, qt.Equals, masticview.RolloutCompleted)
}
