package masticcontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticagent"
	"masticladder/masticcontrol"
)

// TestEachHostRenewsItsLeaseAtTheLeader: on a site of 291 hosts the leader got 650 renewals a second, one call
// each, and lost its leadership every second or two because it came late to its heartbeats.
func TestEachHostRenewsItsLeaseAtTheLeader(t *testing.T) {
	const hosts, renewals = 60, 1000
	c := newCluster(t, three)
	counters := map[string]*masticcontrol.Counters{}
	for _, name := range three {
		counters[name] = &masticcontrol.Counters{}
		c.nodes[name].options = append(c.nodes[name].options, masticcontrol.WithCounters(counters[name]))
	}
	c.startAll()
	var agents []*client
	for i := range hosts {
		agents = append(agents, c.agent(i+1, masticagent.WithRenewInterval(50*time.Millisecond)))
	}
	c.publish(agents[0], "first", baseChange(hosts))
	for _, a := range agents {
		c.eventually("a lease", func() bool { return a.Leased(time.Now()) })
	}
	sum := func() (hosts, calls int64) {
		for _, n := range counters {
			hosts, calls = hosts+n.Renewals.Load(), calls+n.RenewalCalls.Load()
		}
		return hosts, calls
	}
	hostsBefore, callsBefore := sum()
	c.eventually("renewals", func() bool { n, _ := sum(); return n >= hostsBefore+renewals })
	hostsAfter, callsAfter := sum()
	renewed, calls := hostsAfter-hostsBefore, callsAfter-callsBefore
	qt.Assert(t, 3*calls <= renewed, qt.IsTrue, qt.Commentf("%d calls for %d renewals", calls, renewed))
}
