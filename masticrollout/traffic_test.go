package masticrollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticview"
)

// placing places requests of one host, in a service with a server of each version.
type placing struct {
	c       *qt.C
	traffic *Traffic
	view    masticview.View
	at      time.Time
}

var (
	oldServer = masticview.Server{Name: "old", Service: "huvo", Software: "v1", State: masticview.ServerActive}
	newServer = masticview.Server{Name: "new", Service: "huvo", Software: "v2", State: masticview.ServerActive}
)

func newPlacing(c *qt.C) *placing {
	p := &placing{c: c, traffic: NewTraffic("h"), at: time.Unix(1_000, 0)}
	p.view = p.view.WithServer(oldServer).WithServer(newServer).WithRevision(1).
		WithHost(masticview.Host{Name: "h", Address: "a", State: masticview.HostLive, Weight: 1})
	p.traffic.SetView(p.view)
	return p
}

func (p *placing) step(step masticview.RolloutStep, allowance int64) {
	p.view = p.view.WithRollout(masticview.Rollout{
		Service: "huvo", Target: "v2", Step: step, StepAt: p.at, Sequence: p.view.Revision(), FirstSequence: 1, Share: masticview.WholeShare, Allowance: allowance,
	}).WithRevision(p.view.Revision() + 1)
	p.traffic.SetView(p.view)
}

// allowed returns which of the versions v1 and v2 a request may go to, and "none" if it is refused.
func (p *placing) allowed(q Ask) string {
	q.Service = "huvo"
	x, err := p.traffic.Begin(p.at, q)
	if err != nil {
		return "none"
	}
	defer x.Abandon()
	out := ""
	for _, version := range []string{"v1", "v2"} {
		if x.Software.Allows(version) {
			out += version
		}
	}
	return out
}

// TestVersionsAllowedInEachStep guards against a request to the target version outside of its steps, to old servers that
// stop, and against a stream that goes on at another version.
func TestVersionsAllowedInEachStep(t *testing.T) {
	c := qt.New(t)
	p := newPlacing(c)
	first := Ask{First: true, Leased: true}
	c.Assert(p.allowed(first), qt.Equals, "v1v2", qt.Commentf("without a rollout"))
	for _, x := range []struct {
		step                                      masticview.RolloutStep
		first, repeated, silent, oldStream, newer string
	}{
		{masticview.RolloutWait, "v1", "v1", "v1", "v1", "none"},
		{masticview.RolloutObserve, "v2", "v1", "v1", "v1", "v2"},
		{masticview.RolloutLoad, "v2", "v1", "v1", "v1", "v2"},
		{masticview.RolloutConfirm, "v2", "v1", "v1", "v1", "v2"},
		{masticview.RolloutTrial, "v2", "v1", "v1", "v1", "v2"},
		{masticview.RolloutDrain, "v2", "v2", "v2", "v1", "v2"},
		{masticview.RolloutClose, "v2", "v2", "v2", "none", "v2"},
		{masticview.RolloutCompleted, "v2", "v2", "v2", "none", "v2"},
		{masticview.RolloutRolledBack, "v1", "v1", "v1", "v1", "none"},
	} {
		p.step(x.step, 10)
		c.Check(p.allowed(first), qt.Equals, x.first, qt.Commentf("%s", x.step))
		c.Check(p.allowed(Ask{Leased: true, Repeated: true}), qt.Equals, x.repeated, qt.Commentf("%s, sent again", x.step))
		c.Check(p.allowed(Ask{First: true}), qt.Equals, x.silent, qt.Commentf("%s, without control", x.step))
		c.Check(p.allowed(Ask{Leased: true, Bound: masticcall.OnlySoftware("v1")}), qt.Equals, x.oldStream, qt.Commentf("%s, stream of v1", x.step))
		c.Check(p.allowed(Ask{Leased: true, Bound: masticcall.OnlySoftware("v2")}), qt.Equals, x.newer, qt.Commentf("%s, stream of v2", x.step))
	}
}

// TestAllowanceIsNotSpentAgain guards against a host that uses its part of the allowance twice: after it was restarted, or
// while requests wait.
func TestAllowanceIsNotSpentAgain(t *testing.T) {
	c := qt.New(t)
	p := newPlacing(c)
	p.step(masticview.RolloutObserve, 2)
	first := Ask{Service: "huvo", First: true, Leased: true}
	for range 2 {
		x, err := p.traffic.Begin(p.at, first)
		c.Assert(err, qt.IsNil)
		c.Assert(x.Sampled, qt.IsTrue)
		if p.traffic.Exposure()["huvo"].Exposed == 0 {
			c.Assert(x.Assigned(p.at, newServer), qt.IsTrue)
		}
	}
	c.Assert(p.allowed(first), qt.Equals, "v1")
	p.traffic = NewTraffic("h")
	p.traffic.SetView(p.view)
	c.Assert(p.allowed(first), qt.Equals, "v1")
}

// TestAllowanceOfLeftHostsIsNotDividedAgain guards against hosts that divide among them what hosts which left have spent.
func TestAllowanceOfLeftHostsIsNotDividedAgain(t *testing.T) {
	c := qt.New(t)
	p := newPlacing(c)
	other := masticview.Host{Name: "g", Address: "b", State: masticview.HostLive, Weight: 1}
	p.view = p.view.WithHost(other).WithRevision(2)
	p.step(masticview.RolloutObserve, 4)
	first := Ask{Service: "huvo", First: true, Leased: true}
	for range 2 {
		x, err := p.traffic.Begin(p.at, first)
		c.Assert(err, qt.IsNil)
		c.Assert(x.Assigned(p.at, newServer), qt.IsTrue)
	}
	c.Assert(p.allowed(first), qt.Equals, "v1")
	other.State = masticview.HostRetired
	p.view = p.view.WithHost(other).WithRevision(p.view.Revision() + 1)
	p.traffic.SetView(p.view)
	c.Assert(p.allowed(first), qt.Equals, "v1")
}

// TestRequestOfBeforeTheOrderIsPlacedAgain guards against requests that waited for a server since before the order and go to the
// target version beside its allowance.
func TestRequestOfBeforeTheOrderIsPlacedAgain(t *testing.T) {
	c := qt.New(t)
	p := newPlacing(c)
	x, err := p.traffic.Begin(p.at, Ask{Service: "huvo", First: true, Leased: true})
	c.Assert(err, qt.IsNil)
	p.step(masticview.RolloutObserve, 2)
	c.Assert(x.Assigned(p.at, newServer), qt.IsFalse)
}

// TestRequestThatWaitedIsPlacedAgain guards against a request that waited for a server while the version was rolled back, or
// the old servers were about to stop.
func TestRequestThatWaitedIsPlacedAgain(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		from, to masticview.RolloutStep
		server   masticview.Server
	}{
		{masticview.RolloutObserve, masticview.RolloutRolledBack, newServer},
		{masticview.RolloutDrain, masticview.RolloutRolledBack, newServer},
		{masticview.RolloutWait, masticview.RolloutClose, oldServer},
	} {
		p := newPlacing(c)
		p.step(x.from, 10)
		placement, err := p.traffic.Begin(p.at, Ask{Service: "huvo", First: true, Leased: true})
		c.Assert(err, qt.IsNil)
		c.Assert(placement.Software.Allows(x.server.Software), qt.IsTrue)
		p.step(x.to, 10)
		c.Assert(placement.Assigned(p.at, x.server), qt.IsFalse)
	}
}

// TestRunningRequestsBlockTheEnd: requests that began before the order, or that wait for a server, are counted as running on
// other versions.
func TestRunningRequestsBlockTheEnd(t *testing.T) {
	c := qt.New(t)
	p := newPlacing(c)
	early, err := p.traffic.Begin(p.at, Ask{Service: "huvo"})
	c.Assert(err, qt.IsNil)
	c.Assert(early.Assigned(p.at, oldServer), qt.IsTrue)
	p.step(masticview.RolloutWait, 0)
	waiting, err := p.traffic.Begin(p.at, Ask{Service: "huvo"})
	c.Assert(err, qt.IsNil)
	p.step(masticview.RolloutClose, 0)
	running := func() int64 { return p.traffic.Reports()[0].GetRunningOther() }
	c.Assert(running(), qt.Equals, int64(2))
	waiting.Abandon()
	early.End(Outcome{})
	c.Assert(running(), qt.Equals, int64(0))
	p.step(masticview.RolloutCompleted, 0)
	c.Assert(p.traffic.Reports(), qt.HasLen, 0)
}
