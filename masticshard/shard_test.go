package masticshard

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticview"
)

const testPool = "advisor/saw"

func newMap(v masticview.View, previous *Map) *Map { return New(v.Hosts(), v.Servers(), previous) }

func viewOf(hosts, engines int) masticview.View {
	var v masticview.View
	for i := range hosts {
		name := fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250)
		v = v.WithHost(masticview.Host{Name: name, Address: name, Peer: name, Weight: int64(144 + 336*(i%4/3)), State: masticview.HostLive})
	}
	for i := range engines {
		v = v.WithServer(masticview.Server{Name: fmt.Sprintf("i-%08d", i), Kind: masticview.ServerEngine, Service: "advisor", Models: []string{"saw"}, State: masticview.ServerActive})
	}
	return v
}

// TestShardsAreEven checks that each shard gets prompts in proportion to its engines, and that coordinators
// are strong hosts.
func TestShardsAreEven(t *testing.T) {
	for _, x := range []struct{ hosts, engines, shards int }{
		{39, 153, 0}, {291, 9, 1}, {291, 47, 1}, {291, 153, 6}, {450, 284, 8}, {450, 5400, 8},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d engines", x.hosts, x.engines), func(t *testing.T) {
			c := qt.New(t)
			m := newMap(viewOf(x.hosts, x.engines), nil)
			c.Assert(m.Shards(testPool), qt.Equals, x.shards)
			if x.shards == 0 {
				c.Assert(m.Rank(testPool, 1), qt.HasLen, 0)
				return
			}
			const prompts = 20_000
			got := map[int]int{}
			engines := map[int]int{}
			for p := range uint64(prompts) {
				s := m.Rank(testPool, p*0x9e3779b97f4a7c15)[0]
				got[s.Number]++
				engines[s.Number] = s.Engines
				c.Assert(s.Coordinators, qt.HasLen, maxCoordinators)
			}
			for n, count := range got {
				want := float64(prompts) * float64(engines[n]) / float64(x.engines)
				c.Check(float64(count) > 0.93*want && float64(count) < 1.07*want, qt.IsTrue, qt.Commentf("shard %d: %d prompts, %f in proportion", n, count, want))
			}
		})
	}
}

// TestChangeOfFleetMovesFewPrompts checks that the loss of a host changes no shard but those that it
// coordinates, and that the loss of some engines leaves most prompts where they are.
func TestChangeOfFleetMovesFewPrompts(t *testing.T) {
	c := qt.New(t)
	v := viewOf(291, 153)
	before := newMap(v, nil)
	c.Assert(newMap(v, before) == before, qt.IsTrue)
	gone := before.Rank(testPool, 1)[0].Coordinators[0]
	h, _ := v.Host(gone.Name)
	after := newMap(v.WithHost(h.WithState(masticview.HostLost)), before)
	moved := 0
	for p := range uint64(1000) {
		a, b := before.Rank(testPool, p)[0], after.Rank(testPool, p)[0]
		c.Assert(a.Number, qt.Equals, b.Number)
		if a.Coordinators[0] != b.Coordinators[0] {
			c.Assert(a.Coordinators[0], qt.Equals, gone)
			c.Assert(a.Coordinators[1], qt.Equals, b.Coordinators[0])
			moved++
		}
	}
	c.Assert(moved > 0, qt.IsTrue)
	smaller := newMap(viewOf(291, 140), nil)
	moved = 0
	for p := range uint64(1000) {
		if before.Rank(testPool, p)[0].Number != smaller.Rank(testPool, p)[0].Number {
			moved++
		}
	}
	c.Assert(moved < 300, qt.IsTrue, qt.Commentf("%d of 1000 moved", moved))
}

// TestLoadingEnginesKeepTheirShard checks that a change of weights moves nothing.
func TestLoadingEnginesKeepTheirShard(t *testing.T) {
	c := qt.New(t)
	v := viewOf(291, 153)
	m := newMap(v, nil)
	for i := range 44 {
		s, _ := v.Server(fmt.Sprintf("i-%08d", i))
		v = v.WithServer(s.WithState(masticview.ServerLoading))
	}
	c.Assert(newMap(v, m) == m, qt.IsTrue)
}

// BenchmarkNew measures the division of a large site, and the check that it still applies.
func BenchmarkNew(b *testing.B) {
	for _, x := range []struct{ hosts, engines int }{{291, 153}, {450, 5400}} {
		v := viewOf(x.hosts, x.engines)
		m := newMap(v, nil)
		hosts, servers := v.Hosts(), v.Servers()
		b.Run(fmt.Sprintf("%d hosts, %d engines", x.hosts, x.engines), func(b *testing.B) {
			for b.Loop() {
				New(hosts, servers, nil)
			}
		})
		b.Run(fmt.Sprintf("%d hosts, %d engines, unchanged", x.hosts, x.engines), func(b *testing.B) {
			for b.Loop() {
				New(hosts, servers, m)
			}
		})
	}
}
