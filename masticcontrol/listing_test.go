package masticcontrol

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticplace"
	"masticladder/masticview"
)

// TestReconcile: the list lags, so what an order to the same run of a server has achieved goes
// before it, and what the list says of another run goes before what was known.
func TestReconcile(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	held := masticview.Server{Name: "i", Incarnation: "1", WeightsVersion: "3", State: masticview.ServerLoading}
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
			"another run of the server", true, true,
			masticview.Server{Name: "i", Incarnation: "2", WeightsVersion: "2", State: masticview.ServerActive},
			masticview.Server{Name: "i", Incarnation: "2", WeightsVersion: "2", State: masticview.ServerActive},
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			p := &placement{planner: masticplace.NewPlanner(1, now)}
			if x.ordered {
				p.planner.Want(masticplace.Load{Server: "i", ChecksFencing: true})
				p.planner.Decide(now)
			}
			d := &leader{loop: &loop{turnTime: now}, placement: p}
			c.Assert(sameServer(d.reconcile(held, x.known, x.listed), x.want), qt.IsTrue)
		})
	}
}
