package masticrelay

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticrollout"
	"masticladder/masticview"
)

// serviceDispatcher assigns the first server of a service that is not to be avoided.
type serviceDispatcher struct{ *fakeDispatcher }

func (d serviceDispatcher) AcquireService(_ context.Context, s masticview.Service, avoid []string) (masticcall.Assignment, error) {
	for _, x := range d.servers {
		if slices.Contains(s.Servers, x.Name) && !slices.Contains(avoid, x.Name) {
			return &fakeAssignment{dispatcher: d.fakeDispatcher, server: x}, nil
		}
	}
	return nil, masticerror.New(masticerror.KindNoServer, "none left")
}

// rolloutFixture is a fixture with an old server s0 and a server s1 of the target version, in a step of a rollout.
func rolloutFixture(c *qt.C, step masticview.RolloutStep, old, target *rawServer) (*fixture, *masticrollout.Traffic) {
	b := newFixture(c, safe, old, target)
	traffic := masticrollout.NewTraffic("h")
	b.relay.dispatcher = serviceDispatcher{b.dispatcher}
	WithTraffic(traffic, func(time.Time) bool { return true })(b.relay)
	v := testView(c, safe).WithHost(masticview.Host{Name: "h", Address: "a", State: masticview.HostLive, Weight: 1})
	for i, version := range []string{"v1", "v2"} {
		x := &b.dispatcher.servers[i]
		x.Service, x.Software, x.State, x.Kind = "p", version, masticview.ServerActive, masticview.ServerService
		v = v.WithServer(*x)
	}
	b.relay.SetView(v)
	b.relay.SetView(v.WithRollout(masticview.Rollout{
		Service: "p", Target: "v2", Step: step, StepAt: time.Now(), Sequence: 1, FirstSequence: 1, Share: masticview.WholeShare, Allowance: 1,
	}))
	return b, traffic
}

// TestRequestThatTheTargetVersionFailsIsServedByTheOldOne guards against further attempts at an unproven version, and against
// a failure that is not counted as its own.
func TestRequestThatTheTargetVersionFailsIsServedByTheOldOne(t *testing.T) {
	c := qt.New(t)
	old, target := newRawServer(c, okAnswer, okAnswer), newRawServer(c, failure, okAnswer)
	b, traffic := rolloutFixture(c, masticview.RolloutObserve, old, target)
	for range 2 {
		status, _, _ := b.send(c)
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	b.front.Close()
	c.Assert([2]int{len(old.received()), len(target.received())}, qt.Equals, [2]int{2, 1})
	report := traffic.Reports()[0]
	c.Assert([2]int64{report.GetRequests(), report.GetExposed()}, qt.Equals, [2]int64{2, 1})
	c.Assert(report.GetRunningOther()+report.GetRunningTarget(), qt.Equals, int64(0))
	for _, row := range report.GetRows() {
		c.Assert(row.GetBad() > 0, qt.Equals, row.GetServer() == "s1")
		c.Assert(len(row.GetGood()) > 0, qt.Equals, row.GetServer() == "")
	}
	c.Assert(report.GetRows(), qt.HasLen, 2)
}

// TestRequestsByStep guards against a request to servers that the step in force excludes, and against a refusal because the
// sampled version has no server.
func TestRequestsByStep(t *testing.T) {
	for _, x := range []struct {
		step     masticview.RolloutStep
		unlisted bool
		sends    [2]int
	}{
		{masticview.RolloutWait, false, [2]int{1, 0}},
		{masticview.RolloutObserve, true, [2]int{1, 0}},
		{masticview.RolloutObserve, false, [2]int{0, 1}},
		{masticview.RolloutClose, false, [2]int{0, 1}},
		{masticview.RolloutRolledBack, false, [2]int{1, 0}},
	} {
		c := qt.New(t)
		old, target := newRawServer(c, okAnswer), newRawServer(c, okAnswer)
		b, _ := rolloutFixture(c, x.step, old, target)
		if x.unlisted {
			b.dispatcher.servers = b.dispatcher.servers[:1]
		}
		status, _, _ := b.send(c)
		b.front.Close()
		c.Check(status, qt.Equals, http.StatusOK)
		c.Check([2]int{len(old.received()), len(target.received())}, qt.Equals, x.sends, qt.Commentf("%s", x.step))
	}
}
