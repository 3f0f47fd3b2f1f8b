package masticshard

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticbucket"
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
		{39, 153, 0}, {291, 3, 1}, {291, 9, 2}, {45, 44, 4}, {87, 29, 7}, {87, 44, 7}, {291, 47, 11}, {291, 153, 16}, {450, 5400, 16},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d engines", x.hosts, x.engines), func(t *testing.T) {
			c := qt.New(t)
			m := newMap(viewOf(x.hosts, x.engines), nil)
			c.Assert(m.Shards(testPool), qt.Equals, x.shards)
			if x.shards == 0 {
				c.Assert(m.Rank(testPool, 1), qt.HasLen, 0)
				return
			}
			const prompts = 100_000
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

// TestChangeOfFleetMovesFewPrompts checks that the loss of a host moves no prompt to another shard and few shards
// to other coordinators, and that the loss of some engines leaves most prompts where they are.
func TestChangeOfFleetMovesFewPrompts(t *testing.T) {
	c := qt.New(t)
	v := viewOf(291, 153)
	before := newMap(v, nil)
	c.Assert(newMap(v, before) == before, qt.IsTrue)
	moved, lost := 0, 0
	for _, s := range before.Rank(testPool, 1) {
		h, _ := v.Host(s.Coordinators[0].Name)
		after := newMap(v.WithHost(h.WithState(masticview.HostLost)), before)
		moved += movedShards(before, after)
		lost++
		for p := range uint64(100) {
			c.Assert(before.Rank(testPool, p)[0].Number, qt.Equals, after.Rank(testPool, p)[0].Number)
		}
		c.Assert(doubleRoles(v, after), qt.HasLen, 0)
	}
	// Each loss moves the shard of the lost host, and the shard whose coordinator that one gets.
	c.Assert(moved >= lost && moved <= 2*lost, qt.IsTrue, qt.Commentf("%d shards moved by the loss of %d hosts", moved, lost))
	smaller := newMap(viewOf(291, 140), nil)
	moved = 0
	for p := range uint64(1000) {
		if before.Rank(testPool, p)[0].Number != smaller.Rank(testPool, p)[0].Number {
			moved++
		}
	}
	c.Assert(moved < 300, qt.IsTrue, qt.Commentf("%d of 1000 moved", moved))
}

// movedShards returns the number of shards with another first coordinator.
func movedShards(a, b *Map) int {
	n := 0
	for i, s := range a.pools[testPool] {
		if s.Coordinators[0] != b.pools[testPool][i].Coordinators[0] {
			n++
		}
	}
	return n
}

// doubleRoles returns the hosts that coordinate two shards, or coordinate a shard and keep quotas.
func doubleRoles(v masticview.View, m *Map) []string {
	var out []string
	roles := map[string]int{}
	for _, h := range masticbucket.NewDivision(v.Hosts()).All() {
		roles[h.Name]++
	}
	for _, shards := range m.pools {
		for _, s := range shards {
			roles[s.Coordinators[0].Name]++
			if n := roles[s.Coordinators[0].Name]; n == 2 {
				out = append(out, s.Coordinators[0].Name)
			}
		}
	}
	return out
}

// TestOneCoordinatorForEachShard: on a site of 87 hosts, one of 21 strong hosts assigned the engines of all requests, and with more
// shards rendezvous hashing gave some hosts two or three of them; these gave no answers under load. While others are free, no host
// coordinates two shards or is coordinator and keeper of quotas, and second choices have no other role.
func TestOneCoordinatorForEachShard(t *testing.T) {
	for _, x := range []struct{ hosts, engines, shards, doubles int }{
		{87, 44, 7, 0},
		{87, 29, 7, 0},
		{291, 153, 16, 0},
		// 11 strong hosts: 8 keepers and 4 coordinators, one of which has both roles.
		{45, 44, 4, 1},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d engines", x.hosts, x.engines), func(t *testing.T) {
			c := qt.New(t)
			v := viewOf(x.hosts, x.engines)
			m := newMap(v, nil)
			c.Assert(m.pools[testPool], qt.HasLen, x.shards)
			c.Assert(doubleRoles(v, m), qt.HasLen, x.doubles)
			for _, s := range m.pools[testPool] {
				c.Assert(s.Coordinators, qt.HasLen, maxCoordinators)
				for _, h := range s.Coordinators {
					host, _ := v.Host(h.Name)
					c.Assert(host.Weight, qt.Equals, int64(480))
				}
			}
			// The order of hosts in the view doesn't matter.
			hosts := v.Hosts()
			slices.Reverse(hosts)
			c.Assert(New(hosts, v.Servers(), nil).pools, qt.DeepEquals, m.pools)
		})
	}
}

// TestLossOfEnginesKeepsNumberOfShards: a site that loses a third of its engines under load keeps its shards and their coordinators.
func TestLossOfEnginesKeepsNumberOfShards(t *testing.T) {
	c := qt.New(t)
	before, after := newMap(viewOf(87, 44), nil), newMap(viewOf(87, 29), nil)
	c.Assert(after.Shards(testPool), qt.Equals, before.Shards(testPool))
	c.Assert(movedShards(before, after), qt.Equals, 0)
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
