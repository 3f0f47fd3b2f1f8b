package masticcontrol

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticplace"
	"masticladder/masticview"
)

// TestReconcile checks that the results of orders to the same incarnation of a server take
// precedence over the list, which lags behind, and that the list takes precedence for another
// incarnation.
func TestReconcile(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	current := masticview.Server{Name: "i", Incarnation: "1", WeightsVersion: "3", State: masticview.ServerLoading}
	for _, x := range []struct {
		name    string
		known   bool
		ordered bool
		listed  masticview.Server
		want    masticview.Server
	}{
		{
			"a server that is new", false, false,
			masticview.Server{Name: "i", Incarnation: "1", WeightsVersion: "2", State: masticview.ServerActive},
			masticview.Server{Name: "i", Incarnation: "1", WeightsVersion: "2", State: masticview.ServerActive},
		},
		{
			"a list that lags behind an order", true, true,
			masticview.Server{Name: "i", Incarnation: "1", WeightsVersion: "2", State: masticview.ServerActive},
			masticview.Server{Name: "i", Incarnation: "1", WeightsVersion: "3", State: masticview.ServerLoading},
		},
		{
			"an order that has ended without effect", true, false,
			masticview.Server{Name: "i", Incarnation: "1", WeightsVersion: "2", State: masticview.ServerActive},
			masticview.Server{Name: "i", Incarnation: "1", WeightsVersion: "3", State: masticview.ServerActive},
		},
		{
			"a server that leaves while it loads", true, true,
			masticview.Server{Name: "i", Incarnation: "1", WeightsVersion: "4", State: masticview.ServerLeaving},
			masticview.Server{Name: "i", Incarnation: "1", WeightsVersion: "4", State: masticview.ServerLeaving},
		},
		{
			"another incarnation of the server", true, true,
			masticview.Server{Name: "i", Incarnation: "2", WeightsVersion: "2", State: masticview.ServerActive},
			masticview.Server{Name: "i", Incarnation: "2", WeightsVersion: "2", State: masticview.ServerActive},
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			p := &placement{planner: masticplace.NewPlanner(1, now)}
			if x.ordered {
				p.planner.Request(masticplace.Load{Server: "i", ChecksFencing: true})
				p.planner.Decide(now)
			}
			d := &leaderState{loop: &loop{batchTime: now}, placement: p}
			c.Assert(sameServer(d.reconcile(current, x.known, x.listed), x.want), qt.IsTrue)
		})
	}
}

// TestListUndoesWhatServerStated checks that a list which still names a server as active does not undo its
// own statement.
func TestListUndoesWhatServerStated(t *testing.T) {
	c := qt.New(t)
	d := &leaderState{loop: &loop{batchTime: time.UnixMilli(1_000_000)}, placement: &placement{planner: masticplace.NewPlanner(1, time.UnixMilli(0))}}
	listed := masticview.Server{Name: "i", Incarnation: "1", State: masticview.ServerActive}
	current := listed.WithStatedLeaving()
	c.Assert(sameServer(d.reconcile(current, true, listed), current), qt.IsTrue)
	listed.Incarnation = "2"
	c.Assert(sameServer(d.reconcile(current, true, listed), listed), qt.IsTrue)
}

// TestReconcileKeepsInvariants checks for any view entry and order that a server listed as
// leaving stays leaving, that another incarnation is taken as listed, and that the weights
// version of the same incarnation never goes back.
func TestReconcileKeepsInvariants(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	states := []masticview.ServerState{masticview.ServerActive, masticview.ServerLoading, masticview.ServerLeaving}
	server := func(t *rapid.T, name string) masticview.Server {
		return masticview.Server{
			Name:           "i",
			Incarnation:    rapid.SampledFrom([]string{"1", "2"}).Draw(t, name+" incarnation"),
			WeightsVersion: rapid.SampledFrom([]string{"", "2", "3", "10"}).Draw(t, name+" weights"),
			State:          rapid.SampledFrom(states).Draw(t, name+" state"),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		p := &placement{planner: masticplace.NewPlanner(1, now)}
		if rapid.Bool().Draw(t, "ordered") {
			p.planner.Request(masticplace.Load{Server: "i", ChecksFencing: true})
			p.planner.Decide(now)
		}
		d := &leaderState{loop: &loop{batchTime: now}, placement: p}
		current, listed := server(t, "held"), server(t, "listed")
		known := rapid.Bool().Draw(t, "known")
		next := d.reconcile(current, known, listed)
		switch {
		case !known || current.Incarnation != listed.Incarnation:
			if !sameServer(next, listed) {
				t.Fatalf("another incarnation is %+v, listed as %+v", next, listed)
			}
		case listed.State == masticview.ServerLeaving && next.State != masticview.ServerLeaving:
			t.Fatalf("a server listed as leaving is %s", next.State)
		case newer(current.WeightsVersion, next.WeightsVersion) || newer(listed.WeightsVersion, next.WeightsVersion):
			t.Fatalf("weights went from %q, listed %q, to %q", current.WeightsVersion, listed.WeightsVersion, next.WeightsVersion)
		}
	})
}
