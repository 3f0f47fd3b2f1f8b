package masticcontrol_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticcontrol"
	"masticladder/masticplace"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// loadCall is one order as a backend server received it.
type loadCall struct {
	order masticplace.Order
	at    time.Time
}

// slowLoader is a loader whose loads complete only after release is closed.
type slowLoader struct {
	mu         sync.Mutex
	running    map[string]int
	maxRunning map[string]int
	fences     map[string][]masticplace.Fence
	calls      []loadCall
	// terms counts the running loads by the term of their order; overlaps counts those that began while
	// one of an earlier term ran.
	terms    map[uint64]int
	overlaps int
	release  chan struct{}
}

func newSlowLoader() *slowLoader {
	return &slowLoader{
		running:    map[string]int{},
		maxRunning: map[string]int{},
		fences:     map[string][]masticplace.Fence{},
		terms:      map[uint64]int{},
		release:    make(chan struct{}),
	}
}

func (s *slowLoader) Load(ctx context.Context, _ masticview.Server, o masticplace.Order) error {
	s.count(o, 1)
	defer s.count(o, -1)
	select {
	case <-s.release:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slowLoader) count(o masticplace.Order, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[o.Owner] += by
	s.maxRunning[o.Owner] = max(s.maxRunning[o.Owner], s.running[o.Owner])
	s.terms[o.Fence.Term] += by
	for term, n := range s.terms {
		if by > 0 && n > 0 && term < o.Fence.Term {
			s.overlaps++
		}
	}
	if by > 0 {
		s.fences[o.Server] = append(s.fences[o.Server], o.Fence)
		s.calls = append(s.calls, loadCall{o, time.Now()})
	}
}

func (s *slowLoader) fencesOf(server string) []masticplace.Fence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]masticplace.Fence(nil), s.fences[server]...)
}

func (s *slowLoader) runningLoads(owner string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[owner]
}

func enginesChange(count int) *masticproto.ViewChange {
	c := &masticproto.ViewChange{}
	for i := range count {
		for _, owner := range []string{"association", "glenmorven"} {
			name := fmt.Sprintf("%s-%d", owner, i)
			c.Servers = append(c.Servers, &masticproto.Server{
				Name: name, Kind: "engine", Url: fmt.Sprintf("http://127.0.0.1:%d", 1+len(c.Servers)), Owner: owner,
				Models: []string{"saw"}, WeightsVersion: "2", ChecksFencing: i%2 == 0, State: "active",
			})
		}
	}
	return c
}

func TestConcurrentLoadsAreBoundedAndFenced(t *testing.T) {
	q := quicktest.New(t)
	loader := newSlowLoader()
	limits := []masticplace.Option{
		masticplace.WithMaxConcurrentLoads("association", 3),
		masticplace.WithMaxConcurrentLoads("glenmorven", 2),
		masticplace.WithOrderTimeout(testTimeout),
	}
	// After a leader change the previous leader's orders stay open until their deadlines, which
	// another test covers. The long election timeout keeps a machine that stalls for 300 ms from
	// causing one here.
	c := newCluster(t, three, masticcontrol.WithLoader(loader, 16, limits...), masticcontrol.WithElectionTimeout(5*time.Second))
	c.startAll()
	agent := c.agent(1)
	c.publish(agent, "first", baseChange(1))
	c.publish(agent, "engines", enginesChange(6))
	c.eventually("both owners at their bound", func() bool {
		return loader.runningLoads("association") == 3 && loader.runningLoads("glenmorven") == 2
	})
	c.publish(agent, "other", &masticproto.ViewChange{Workspaces: []*masticproto.Workspace{{
		Name: "other", Owner: "association", RateTokensPerSecond: 1, BurstTokens: 1,
	}}})
	close(loader.release)
	c.eventually("all loaded", func() bool {
		for i := range 6 {
			if len(loader.fencesOf(fmt.Sprintf("association-%d", i))) == 0 || len(loader.fencesOf(fmt.Sprintf("glenmorven-%d", i))) == 0 {
				return false
			}
		}
		return loader.runningLoads("association")+loader.runningLoads("glenmorven") == 0
	})
	q.Assert(loader.maxRunning["association"], quicktest.Equals, 3)
	q.Assert(loader.maxRunning["glenmorven"], quicktest.Equals, 2)
	seen := map[masticplace.Fence]bool{}
	for _, fences := range loader.fences {
		q.Assert(fences, quicktest.HasLen, 1)
		q.Assert(seen[fences[0]], quicktest.IsFalse)
		seen[fences[0]] = true
	}
}

func TestNewLeaderWaitsForOrdersOfPreviousLeader(t *testing.T) {
	q := quicktest.New(t)
	loader := newSlowLoader()
	c := newCluster(t, three, masticcontrol.WithLoader(loader, 16,
		masticplace.WithMaxConcurrentLoads("association", 1),
		masticplace.WithMaxConcurrentLoads("glenmorven", 1),
		masticplace.WithOrderTimeout(3*time.Second)))
	c.startAll()
	agent := c.agent(1)
	c.publish(agent, "first", baseChange(1))
	c.publish(agent, "engines", enginesChange(2))
	c.eventually("one load of each owner", func() bool {
		return loader.runningLoads("association") == 1 && loader.runningLoads("glenmorven") == 1
	})
	c.stop(c.leader(agent))
	c.eventually("orders of the new leader", func() bool {
		return len(loader.fencesOf("association-0"))+len(loader.fencesOf("association-1")) > 1
	})
	loader.mu.Lock()
	defer loader.mu.Unlock()
	for i, a := range loader.calls {
		for _, b := range loader.calls[i+1:] {
			if a.order.Owner == b.order.Owner {
				q.Assert(b.at.Before(a.order.Deadline), quicktest.IsFalse, quicktest.Commentf("%v then %v", a, b))
			}
		}
	}
	for _, server := range []string{"association-0", "association-1", "glenmorven-0", "glenmorven-1"} {
		var last masticplace.Fence
		for _, f := range loader.fences[server] {
			q.Assert(last.Less(f), quicktest.IsTrue)
			last = f
		}
	}
}

// TestOldLeaderSendsOrdersBesideTheNewOne: a leader that was cut off from the other control hosts went on
// with its orders to their deadlines, while the new leader sent its own.
func TestOldLeaderSendsOrdersBesideTheNewOne(t *testing.T) {
	q := quicktest.New(t)
	loader := newSlowLoader()
	c := newCluster(t, three, masticcontrol.WithLoader(loader, 16,
		masticplace.WithMaxConcurrentLoads("association", 1),
		masticplace.WithMaxConcurrentLoads("glenmorven", 1),
		masticplace.WithOrderTimeout(testTimeout),
		masticplace.WithSupersede()))
	c.startAll()
	near, far := c.agent(1), c.agent(2)
	c.publish(near, "first", baseChange(2))
	c.publish(near, "engines", enginesChange(2))
	c.eventually("one load of each owner", func() bool {
		return loader.runningLoads("association") == 1 && loader.runningLoads("glenmorven") == 1
	})
	c.split(c.leader(near), near, far, c.network.block)
	c.eventually("orders of the new leader", func() bool {
		loader.mu.Lock()
		defer loader.mu.Unlock()
		return loader.calls[len(loader.calls)-1].order.Fence.Term > loader.calls[0].order.Fence.Term
	})
	loader.mu.Lock()
	defer loader.mu.Unlock()
	q.Assert(loader.overlaps, quicktest.Equals, 0)
}
