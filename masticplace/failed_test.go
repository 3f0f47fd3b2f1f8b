package masticplace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFailedLoadDoesNotCountAgainstLimit covers unreachable engines during a change of weights:
// their orders used up the limit until their deadlines, and the other engines stayed on old
// weights.
func TestFailedLoadDoesNotCountAgainstLimit(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	p := NewPlanner(1, now, WithDefaultMaxConcurrentLoads(func(string) int { return 1 }))
	unreachable := Load{Server: "dark", Owner: "pool", Model: "m", WeightsVersion: "2", ChecksFencing: true}
	healthy := Load{Server: "well", Owner: "pool", Model: "m", WeightsVersion: "2", ChecksFencing: true}
	p.Request(unreachable)
	p.Request(healthy)
	first := p.Decide(now)
	c.Assert(first[0].Order, qt.IsNotNil)
	c.Assert(p.Ordered(now, "well"), qt.IsFalse)
	p.Failed("dark", first[0].Order.Fence, now.Add(time.Second))
	p.Request(unreachable)
	c.Assert(p.Decide(now)[0].Load, qt.Equals, healthy)
	c.Assert(p.Ordered(now, "dark"), qt.IsFalse)
	// The failed load is ordered again once its retry time has come and the limit allows it.
	p.Done("well", Fence{1, 2})
	c.Assert(ordered(p.Decide(now.Add(999*time.Millisecond))), qt.HasLen, 0)
	c.Assert(ordered(p.Decide(now.Add(time.Second))), qt.DeepEquals, []string{"dark"})
}

func ordered(decisions []Decision) []string {
	var out []string
	for _, d := range decisions {
		if d.Order != nil {
			out = append(out, d.Load.Server)
		}
	}
	return out
}

// TestSupersededOrdersDoNotCountAgainstLimit covers a leader that froze with two orders in
// progress: its successor ordered nothing until their deadlines, 4 s later.
func TestSupersededOrdersDoNotCountAgainstLimit(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	previous := Order{
		Load:  Load{Server: "a", Owner: "pool", Model: "m", WeightsVersion: "2", ChecksFencing: true},
		Fence: Fence{1, 1}, Deadline: now.Add(4 * time.Second),
	}
	p := NewPlanner(2, now, WithDefaultMaxConcurrentLoads(func(string) int { return 1 }), WithPreviousOrders([]Order{previous}), WithSupersede())
	p.Request(previous.Load)
	c.Assert(ordered(p.Decide(now)), qt.DeepEquals, []string{"a"})
}

// TestNewLeaderOrdersServersThatMayStillLoadFirst guards against a new leader that orders other servers than the last one: with a new
// leader each second, 30 to 50 of 44 servers were ordered and left service at once.
func TestNewLeaderOrdersServersThatMayStillLoadFirst(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	load := func(server string) Load {
		return Load{Server: server, Owner: "pool", Model: "m", WeightsVersion: "2", ChecksFencing: true}
	}
	options := []Option{WithDefaultMaxConcurrentLoads(func(string) int { return 2 }), WithOrderTimeout(4 * time.Second)}
	var open []Order
	servers := map[string]bool{}
	for term := range uint64(5) {
		now = now.Add(500 * time.Millisecond)
		p := NewPlanner(term+1, now, append(options, WithPreviousOrders(open), WithSupersede())...)
		// The view lists the servers in another order each time.
		for i := range 6 {
			p.Request(load(string(rune('a' + (i+int(term)*2)%6))))
		}
		open = nil
		for _, d := range p.Decide(now) {
			if d.Order != nil {
				open = append(open, *d.Order)
				servers[d.Load.Server] = true
			}
		}
		c.Assert(open, qt.HasLen, 2)
	}
	c.Assert(servers, qt.HasLen, 2)
}
