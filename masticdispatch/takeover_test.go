package masticdispatch

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticroute"
	"masticladder/masticview"
)

// ReportLoad implements LoadReporter.
func (n *shardNet) ReportLoad(peer string, r masticroute.PeerReport) {
	if d := n.dispatcher(peer); d != nil {
		d.ApplyPeerReport(r)
	}
}

func (n *shardNet) setDown(names ...string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, name := range names {
		n.down[name] = true
	}
}

// TestCoordinatorThatTakesOverKnowsRunningRequests: a coordinator that took a shard over assigned engines on which the requests of the
// former one ran, while others were idle.
func TestCoordinatorThatTakesOverKnowsRunningRequests(t *testing.T) {
	c := qt.New(t)
	n := newShardNet(c, 2, 7)
	shards := n.dispatchers["host2"].sharding.current().Rank(shardModel, 1)
	c.Assert(shards, qt.HasLen, 1)
	servers := map[string]int{}
	var all []masticcall.Assignment
	for i := range 7 {
		if i == 4 {
			n.setDown(shards[0].Coordinators[0].Name)
		}
		a := n.acquire(c, "host2", i)
		servers[a.Server().Name]++
		all = append(all, a)
	}
	c.Assert(servers, qt.HasLen, 7, qt.Commentf("%v", servers))
	for _, a := range all {
		a.Done(time.Now(), masticcall.Result{CachedUnknown: true})
	}
	c.Assert(n.dispatchers["host2"].takeover.sent, qt.HasLen, 0)
}

// TestReportLeavesOutTheCoordinatorsOwnAssignments checks that no request is counted twice by a coordinator that is asked again.
func TestReportLeavesOutTheCoordinatorsOwnAssignments(t *testing.T) {
	c := qt.New(t)
	n := newTakeover()
	n.sent[1] = sentRequest{coordinator: "a", server: "i-1", uncached: 500, tokens: 9000}
	n.sent[2] = sentRequest{coordinator: "b", server: "i-1", uncached: 300, tokens: 600, quick: true}
	n.sent[3] = sentRequest{server: "i-1", uncached: 200, tokens: 700, started: true}
	c.Assert(n.reportFor("h", "a"), qt.DeepEquals, masticroute.PeerReport{Host: "h", Servers: []masticroute.ServerLoad{
		{Server: "i-1", Tokens: 300, QuickTokens: 300, HeldTokens: 1300, Running: 2},
	}})
	c.Assert(n.reportFor("h", "b").Servers[0].Running, qt.Equals, int64(2))
	c.Assert(n.reportFor("h", "b").Touches, qt.HasLen, 1)
}

// TestHostWithoutCoordinatorsBoundsItsRequests: while no coordinator answered, hosts that did not know of each other filled the queues of a
// few engines.
func TestHostWithoutCoordinatorsBoundsItsRequests(t *testing.T) {
	c := qt.New(t)
	n := newShardNet(c, 2, 3)
	n.setDown("host0", "host1")
	servers := map[string]int{}
	var all []masticcall.Assignment
	for i := range 3 * maxLocal {
		a := n.acquire(c, "host2", i)
		servers[a.Server().Name]++
		all = append(all, a)
	}
	c.Assert(servers, qt.DeepEquals, map[string]int{"engine0": maxLocal, "engine1": maxLocal, "engine2": maxLocal})
	d := n.dispatchers["host2"]
	r := masticcall.Request{
		ID: "q", Weight: 1, Model: shardModel, Class: masticview.ClassLong, PromptTokens: 9000,
		Levels:             []masticcall.Level{{Text: "dossier", Tokens: 8000}, {Text: "question", Tokens: 1000}},
		FirstTokenDeadline: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Hour), ServerWaitDeadline: time.Now().Add(time.Minute),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := d.Acquire(ctx, r)
	c.Assert(err, qt.IsNotNil)
	all[0].Done(time.Now(), masticcall.Result{CachedUnknown: true})
	a, err := d.Acquire(context.Background(), r)
	c.Assert(err, qt.IsNil)
	c.Assert(a.Server().Name, qt.Equals, all[0].Server().Name)
}

// maxLocal is the number of requests that a host sends to an engine without a coordinator.
const maxLocal = 2
