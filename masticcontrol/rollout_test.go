package masticcontrol_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticagent"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticrollout"
	"masticladder/masticview"
)

// rolloutTraffic places requests of one host by its views, and sends them to a service with two versions.
type rolloutTraffic struct {
	traffic *masticrollout.Traffic
	stopped chan struct{}
	done    chan struct{}
}

func (r *rolloutTraffic) onView(v masticview.View) { r.traffic.SetView(v) }

// run sends a request each 2 ms, which is answered at once.
func (r *rolloutTraffic) run() {
	defer close(r.done)
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.request()
		case <-r.stopped:
			return
		}
	}
}

func (r *rolloutTraffic) request() {
	now := time.Now()
	p, err := r.traffic.Begin(now, masticrollout.Ask{Service: "huvo", First: true, Leased: true, Random: float64(now.UnixMicro()%1000) / 1000})
	if err != nil {
		return
	}
	server := masticview.Server{Name: "old", Software: "v1"}
	if !p.Software.Allows("v1") {
		server = masticview.Server{Name: "new", Software: "v2"}
	}
	if p.Assigned(now, server) {
		p.End(masticrollout.Outcome{Route: "hours", Latency: 20 * time.Millisecond})
	}
}

func huvoChange() *masticproto.ViewChange {
	change := baseChange(1)
	for name, version := range map[string]string{"old": "v1", "new": "v2"} {
		change.Servers = append(change.Servers, masticview.Server{
			Name: name, Kind: masticview.ServerService, URL: "http://127.0.0.1:1", Service: "huvo", Software: version, State: masticview.ServerActive,
		}.ToProto())
	}
	return change
}

// TestRolloutContinuesWhenItsLeaderEnds: the leader ends in each step. The next one continues with the committed step; it has
// no evidence until hosts report again.
func TestRolloutContinuesWhenItsLeaderEnds(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"})
	c.startAll()
	r := &rolloutTraffic{traffic: masticrollout.NewTraffic(hostName(1)), stopped: make(chan struct{}), done: make(chan struct{})}
	a := c.agent(1, masticagent.WithOnView(r.onView), masticagent.WithEvidence(r.traffic.Reports))
	c.leader(a)
	revision := c.publish(a, "servers", huvoChange())
	// A host whose first view has the rollout counts as restarted, and sends nothing to the version.
	c.eventually("the view", func() bool { return a.View().Revision() >= revision })
	go r.run()
	t.Cleanup(func() {
		close(r.stopped)
		<-r.done
	})
	const span = 20 * time.Second
	c.order(a, "v2", span)
	seen := map[masticview.RolloutStep]bool{}
	c.eventually("a final step", func() bool {
		rollout, err := c.readRollout(a)
		if err != nil || seen[rollout.Step] {
			return false
		}
		t.Logf("%+v", rollout)
		seen[rollout.Step] = true
		if rollout.Step.Final() {
			return true
		}
		leader := c.leader(a)
		c.stop(leader)
		c.order(a, "v2", span)
		c.start(leader)
		return false
	})
	rollout, err := c.readRollout(a)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, rollout.Step, quicktest.Equals, masticview.RolloutCompleted)
	quicktest.Assert(t, len(seen) >= 6, quicktest.IsTrue, quicktest.Commentf("%v", seen))
}

// order orders a version, again until the outcome is known.
func (c *cluster) order(a *client, target string, span time.Duration) {
	c.eventually("an accepted order", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := a.OrderRollout(ctx, "huvo", target, span)
		kind := masticerror.KindOf(err)
		quicktest.Assert(c.t, kind != masticerror.KindConflict && kind != masticerror.KindBadRequest, quicktest.IsTrue, quicktest.Commentf("%v", err))
		return err == nil
	})
}

func (c *cluster) readRollout(a *client) (masticview.Rollout, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return a.ReadRollout(ctx, "huvo")
}

// TestRolloutOrderSurvivesPowerFailure: all control hosts end at once after an order was acknowledged.
func TestRolloutOrderSurvivesPowerFailure(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"})
	c.startAll()
	a := c.agent(1)
	c.leader(a)
	_, err := a.ReadRollout(c.context(), "huvo")
	quicktest.Assert(t, masticerror.KindOf(err), quicktest.Equals, masticerror.KindNotFound)
	err = a.OrderRollout(c.context(), "huvo", "v2", time.Hour)
	quicktest.Assert(t, masticerror.KindOf(err), quicktest.Equals, masticerror.KindBadRequest)
	c.publish(a, "servers", huvoChange())
	c.order(a, "v2", time.Hour)
	before, err := c.readRollout(a)
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, name := range c.names {
		c.stop(name)
	}
	for _, name := range c.names {
		c.start(name)
	}
	c.leader(a)
	after, err := a.ReadRollout(c.context(), "huvo")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, after, quicktest.DeepEquals, before)
	quicktest.Assert(t, a.OrderRollout(c.context(), "huvo", "v2", time.Hour), quicktest.IsNil)
	quicktest.Assert(t, masticerror.KindOf(a.OrderRollout(c.context(), "huvo", "v3", time.Hour)), quicktest.Equals, masticerror.KindConflict)
}
