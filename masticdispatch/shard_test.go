package masticdispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticschedule"
	"masticladder/masticview"
)

const shardModel = "advisor/saw"

// shardNet connects the dispatchers of a site. It implements masticcall.Coordinators.
type shardNet struct {
	mutex       sync.Mutex
	dispatchers map[string]*Dispatcher
	// down are the hosts that give no answer.
	down map[string]bool
	// late are those that answer too late, busy those that reject questions.
	late, busy map[string]bool
	asked      map[string]int
}

func (n *shardNet) dispatcher(peer string) *Dispatcher {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.asked[peer]++
	if n.down[peer] {
		return nil
	}
	return n.dispatchers[peer]
}

func (n *shardNet) Assign(ctx context.Context, peer string, q masticcall.ShardRequest) (masticcall.ShardAssignment, error) {
	d := n.dispatcher(peer)
	n.mutex.Lock()
	late, busy := n.late[peer], n.busy[peer]
	n.mutex.Unlock()
	switch {
	case d == nil:
		return masticcall.ShardAssignment{}, errors.New("no answer")
	case late:
		return masticcall.ShardAssignment{}, masticerror.New(masticerror.KindOverloaded, "late")
	case busy:
		return masticcall.ShardAssignment{Busy: true}, nil
	}
	return d.AssignFromShard(ctx, q), nil
}

func (n *shardNet) Update(peer string, u masticcall.ShardUpdate) {
	if d := n.dispatcher(peer); d != nil {
		d.UpdateShard(u)
	}
}

// shardView has one strong host for each dispatcher, many weak ones, and engines.
func shardView(strong, engines int) masticview.View {
	var v masticview.View
	for i := range 110 {
		h := masticview.Host{Name: fmt.Sprint("host", i), Address: "10.0.0.1:1", Peer: fmt.Sprint("host", i), Weight: 1, State: masticview.HostLive}
		if i < strong {
			h.Weight = 10
		}
		v = v.WithHost(h)
	}
	for i := range engines {
		v = v.WithServer(masticview.Server{
			Name: fmt.Sprint("engine", i), Kind: masticview.ServerEngine, Service: "advisor", Models: []string{"saw"},
			State: masticview.ServerActive, Slots: 4, WeightsVersion: "2", URL: fmt.Sprintf("http://10.1.0.%d:80", i),
		})
	}
	return v
}

func newShardNet(c *qt.C, strong, engines int) *shardNet {
	n := &shardNet{dispatchers: map[string]*Dispatcher{}, down: map[string]bool{}, late: map[string]bool{}, busy: map[string]bool{}, asked: map[string]int{}}
	// The last one is a weak host, which coordinates nothing.
	for i := range strong + 1 {
		name := fmt.Sprint("host", i)
		d := New(WithHost(name), WithSharedLoad(), WithSeed(uint64(i)), WithCoordinators(n), WithLoadReporter(n))
		n.dispatchers[name] = d
		r := &testDispatcher{Dispatcher: d}
		go r.run()
		c.Cleanup(func() { d.Stop(nil) })
		d.SetView(shardView(strong, engines))
	}
	for _, d := range n.dispatchers {
		waitUntil(c, d.Sharded)
	}
	return n
}

func waitUntil(c *qt.C, done func() bool) {
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

func (n *shardNet) acquire(c *qt.C, host string, number int) masticcall.Assignment {
	a, err := n.dispatchers[host].Acquire(context.Background(), masticcall.Request{
		ID: fmt.Sprint("q", number), Weight: 1, Model: shardModel, Class: masticview.ClassLong, PromptTokens: 9000,
		Levels:             []masticcall.Level{{Text: fmt.Sprint("dossier", number), Tokens: 8000}, {Text: fmt.Sprint("question", number), Tokens: 1000}},
		FirstTokenDeadline: time.Now().Add(time.Second), Deadline: time.Now().Add(10 * time.Second), ServerWaitDeadline: time.Now().Add(time.Second),
	})
	c.Assert(err, qt.IsNil)
	return a
}

// running returns the number of requests that a dispatcher counts as running.
func (d *Dispatcher) running() int {
	reply := make(chan int, 1)
	d.send(&countRunning{reply})
	return <-reply
}

type countRunning struct{ reply chan int }

func (q *countRunning) apply(d *Dispatcher, _ time.Time) {
	n := 0
	for _, s := range d.scheduler.TakeOwnReport("").Servers {
		n += int(s.Running)
	}
	q.reply <- n
}

// TestCoordinatorAssignsForAllHosts checks that two hosts get engines of one shard from its coordinator, that
// this spreads them by the work of both, and that the ends are counted.
func TestCoordinatorAssignsForAllHosts(t *testing.T) {
	c := qt.New(t)
	n := newShardNet(c, 1, 10)
	servers := map[string]int{}
	var all []masticcall.Assignment
	for i := range 10 {
		a := n.acquire(c, fmt.Sprint("host", i%2), i)
		c.Assert(a.Server().WeightsVersion, qt.Equals, "2")
		servers[a.Server().Name]++
		all = append(all, a)
	}
	c.Assert(servers, qt.HasLen, 10)
	c.Assert(n.dispatchers["host0"].running(), qt.Equals, 10)
	for _, a := range all {
		a.FirstToken(time.Now())
		a.Done(time.Now(), masticcall.Result{CachedUnknown: true})
	}
	for _, d := range n.dispatchers {
		waitUntil(c, func() bool { return d.running() == 0 })
	}
}

// TestCoordinatorGivesNoAnswer checks that a host goes on without the coordinators of its shards.
func TestCoordinatorGivesNoAnswer(t *testing.T) {
	c := qt.New(t)
	n := newShardNet(c, 2, 60)
	n.mutex.Lock()
	n.down["host0"] = true
	n.mutex.Unlock()
	for i := range 6 {
		n.acquire(c, "host2", i)
	}
	n.mutex.Lock()
	n.down["host1"] = true
	asked := n.asked["host0"] + n.asked["host1"]
	n.mutex.Unlock()
	for i := range 20 {
		n.acquire(c, "host2", i)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c.Assert(n.asked["host0"]+n.asked["host1"]-asked <= 8, qt.IsTrue)
}

// TestOverloadedCoordinatorKeepsItsShard: a coordinator that answered late lost its shards for a second to one that
// knew nothing of them. Hosts ask the next shard instead, ask the late one again after a short time, and don't
// ask the second choice of its shard.
func TestOverloadedCoordinatorKeepsItsShard(t *testing.T) {
	for _, rejects := range []bool{false, true} {
		c := qt.New(t)
		n := newShardNet(c, 2, 60)
		now := time.Now()
		d := n.dispatchers["host2"]
		shards := d.sharding.current().Rank(shardModel, 1)
		c.Assert(shards, qt.HasLen, 2)
		overloaded, other := shards[0].Coordinators[0], shards[1].Coordinators[0]
		c.Assert(overloaded.Name != other.Name, qt.IsTrue)
		n.mutex.Lock()
		n.late[overloaded.Peer], n.busy[overloaded.Peer] = !rejects, rejects
		n.mutex.Unlock()
		// All requests are for the shard of the overloaded coordinator.
		for i := range 20 {
			n.acquire(c, "host2", i)
		}
		got, ok := d.sharding.coordinator(now, shards[0])
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, overloaded)
		n.mutex.Lock()
		c.Assert(n.asked[other.Peer] >= 10, qt.IsTrue, qt.Commentf("%v", n.asked))
		n.mutex.Unlock()
		end := now.Add(time.Hour)
		d.sharding.recordAnswer(end, overloaded.Peer, answeredBusy)
		c.Assert(d.sharding.isBusy(end, overloaded.Peer), qt.IsTrue)
		c.Assert(d.sharding.isBusy(end.Add(2*busyCooldown), overloaded.Peer), qt.IsFalse)
	}
}

// TestHostMayNotUseAssignedEngine checks that a host gets another engine if the assigned one wants nothing
// from it.
func TestHostMayNotUseAssignedEngine(t *testing.T) {
	c := qt.New(t)
	n := newShardNet(c, 1, 2)
	d := n.dispatchers["host1"]
	d.ObserveStatement(masticview.Server{Name: "engine0"}, "", time.Now(), masticcall.Statement{PausedUntil: time.Now().Add(time.Hour)})
	for i := range 3 {
		c.Assert(n.acquire(c, "host1", i).Server().Name, qt.Equals, "engine1")
	}
	waitUntil(c, func() bool { return n.dispatchers["host0"].running() == 3 })
}

// TestPauseOfCoordinatorBindsOtherHosts: a pause concerns the host that was told, and a leaving server all.
func TestPauseOfCoordinatorBindsOtherHosts(t *testing.T) {
	c := qt.New(t)
	n := newShardNet(c, 1, 2)
	d := n.dispatchers["host0"]
	d.ObserveStatement(masticview.Server{Name: "engine0"}, "", time.Now(), masticcall.Statement{PausedUntil: time.Now().Add(time.Hour)})
	d.ObserveStatement(masticview.Server{Name: "engine1"}, "", time.Now(), masticcall.Statement{Leaving: true})
	waitUntil(c, func() bool { return d.isLeaving(masticview.Server{Name: "engine1"}) })
	for i := range 3 {
		c.Assert(n.acquire(c, "host1", i).Server().Name, qt.Equals, "engine0")
	}
}

// TestAssignmentOfLostHostEnds checks that an assignment whose end is never reported does not count for
// ever.
func TestAssignmentOfLostHostEnds(t *testing.T) {
	c := qt.New(t)
	s := &sharding{assigned: map[assignmentKey]assignedRequest{}}
	now := time.Unix(1000, 0)
	q := func(id uint64, deadline time.Time) masticcall.ShardRequest {
		return masticcall.ShardRequest{Host: "h", ID: id, Request: masticcall.Request{Deadline: deadline}}
	}
	c.Assert(s.addAssigned(q(1, now.Add(time.Second)), 1), qt.HasLen, 0)
	c.Assert(s.addAssigned(q(2, now.Add(time.Minute)), 2), qt.HasLen, 0)
	expired, full := s.expire(now.Add(3 * time.Second))
	c.Assert(expired, qt.DeepEquals, []masticschedule.Ticket{1})
	c.Assert(full, qt.IsFalse)
	_, ok := s.ticketOf(masticcall.ShardUpdate{Host: "h", ID: 1, Done: true})
	c.Assert(ok, qt.IsFalse)
	c.Assert(s.addAssigned(q(2, now.Add(time.Minute)), 3), qt.DeepEquals, []masticschedule.Ticket{2})
	ticket, ok := s.ticketOf(masticcall.ShardUpdate{Host: "h", ID: 2, Done: true})
	c.Assert(ok, qt.IsTrue)
	c.Assert(ticket, qt.Equals, masticschedule.Ticket(3))
	c.Assert(s.assigned, qt.HasLen, 0)
	for id := range uint64(maxAssigned) {
		s.addAssigned(q(id, now.Add(time.Minute)), 4)
	}
	_, full = s.expire(now)
	c.Assert(full, qt.IsTrue)
	_, full = s.expire(now.Add(2 * time.Minute))
	c.Assert(full, qt.IsFalse)
}
