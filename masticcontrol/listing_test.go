package masticcontrol

import (
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"masticladder/masticplace"
	"masticladder/masticproto"
	"masticladder/masticstate"
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
			d := &leaderState{loop: &loop{batchTime: now}, placement: p, olderWeights: olderWeights{}}
			c.Assert(sameServer(d.reconcile(current, x.known, x.listed), x.want), qt.IsTrue)
		})
	}
}

// TestListUndoesWhatServerStated checks that a list which still names a server as active does not undo its
// own statement.
func TestListUndoesWhatServerStated(t *testing.T) {
	c := qt.New(t)
	d := &leaderState{loop: &loop{batchTime: time.UnixMilli(1_000_000)}, placement: &placement{planner: masticplace.NewPlanner(1, time.UnixMilli(0))}, olderWeights: olderWeights{}}
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
		d := &leaderState{loop: &loop{batchTime: now}, placement: p, olderWeights: olderWeights{}}
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

// TestOddServerStopsTheList: a listed server that the view does not accept had each change of the view refused, so that the list
// was no longer followed.
func TestOddServerStopsTheList(t *testing.T) {
	sound := func(name, address string) masticview.Server {
		return masticview.Server{Name: name, Kind: masticview.ServerEngine, URL: "http://" + address, Zone: "z", Service: "pool", Models: []string{"m"}, State: masticview.ServerActive}
	}
	odd := sound("odd", "10.0.0.9:80")
	with := func(change func(s *masticview.Server)) masticview.Server {
		s := odd
		change(&s)
		return s
	}
	long := strings.Repeat("x", 5000)
	for name, x := range map[string]masticview.Server{
		"address with a zone":  with(func(s *masticview.Server) { s.URL = "http://[fe80::1%lo]:80" }),
		"long name":            with(func(s *masticview.Server) { s.Name = long }),
		"no name":              with(func(s *masticview.Server) { s.Name = "" }),
		"long zone":            with(func(s *masticview.Server) { s.Zone = long }),
		"long service":         with(func(s *masticview.Server) { s.Service = long }),
		"long model":           with(func(s *masticview.Server) { s.Models = []string{long} }),
		"many models":          with(func(s *masticview.Server) { s.Models = make([]string, 1000) }),
		"name of a sound one":  with(func(s *masticview.Server) { s.Name = "a" }),
		"kind of another":      with(func(s *masticview.Server) { s.Name, s.Kind = "a", masticview.ServerService }),
		"name of a new server": with(func(s *masticview.Server) { s.Name = "b" }),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			l := &loop{settings: settings{log: log, counters: &Counters{}}, state: masticstate.New()}
			known := sound("a", "10.0.0.1:80")
			publishTo(l, "known", &masticproto.ViewChange{Servers: []*masticproto.Server{known.ToProto()}})
			d := &leaderState{loop: l}
			// The odd one comes first and last.
			for _, servers := range [][]masticview.Server{{x, known, sound("b", "10.0.0.2:80")}, {known, sound("b", "10.0.0.2:80"), x}} {
				usable := d.usableServers(l.state.View(), Listing{Servers: servers})
				change := &masticproto.ViewChange{}
				for _, s := range usable {
					change.Servers = append(change.Servers, s.ToProto())
				}
				next, err := l.state.View().Apply(change, time.UnixMilli(1))
				c.Assert(err, qt.IsNil)
				a, _ := next.Server("a")
				c.Assert(a.URL, qt.Equals, known.URL)
				_, found := next.Server("b")
				c.Assert(found, qt.IsTrue)
				c.Assert(l.counters.ListSkipped.Load(), qt.Equals, int64(1))
			}
		})
	}
}

// TestPartialListRemovesServers checks that servers that may be on a page that was not read stay.
func TestPartialListRemovesServers(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &loop{settings: settings{log: log, counters: &Counters{}}, state: masticstate.New()}
	server := masticview.Server{Name: "a", Kind: masticview.ServerService, URL: "http://10.0.0.1:80", Service: "desk", State: masticview.ServerActive}
	publishTo(l, "known", &masticproto.ViewChange{Servers: []*masticproto.Server{server.ToProto()}})
	d := &leaderState{loop: l}
	c.Assert(d.listChange(Listing{partial: true}).GetRemovedServers(), qt.HasLen, 0)
	c.Assert(d.listChange(Listing{}).GetRemovedServers(), qt.DeepEquals, []string{"a"})
}
