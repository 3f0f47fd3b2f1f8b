package masticplace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFailedLoadGivesItsPlace replays dark engines during a change of weights: their orders
// held all places until their deadlines, and the others stayed on old weights.
func TestFailedLoadGivesItsPlace(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	p := NewPlanner(1, now, WithLimit(func(string) int { return 1 }))
	dark := Load{Server: "dark", Owner: "pool", Model: "m", WeightsVersion: "2", ChecksFencing: true}
	well := Load{Server: "well", Owner: "pool", Model: "m", WeightsVersion: "2", ChecksFencing: true}
	p.Want(dark)
	p.Want(well)
	first := p.Decide(now)
	c.Assert(first[0].Order, qt.IsNotNil)
	c.Assert(p.Ordered(now, "well"), qt.IsFalse)
	p.Failed("dark", first[0].Order.Fence, now.Add(time.Second))
	p.Want(dark)
	c.Assert(p.Decide(now)[0].Load, qt.Equals, well)
	c.Assert(p.Ordered(now, "dark"), qt.IsFalse)
	// The failed one is ordered again once its pause is over and a place is free.
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

// TestSupersededOrdersHoldNoPlace replays a leader that froze with two orders under
// way: its successor ordered nothing for the 4 s of their deadlines.
func TestFormerOrdersToFencedServersHoldNoPlace(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	former := Order{
		Load:  Load{Server: "a", Owner: "pool", Model: "m", WeightsVersion: "2", ChecksFencing: true},
		Fence: Fence{1, 1}, Deadline: now.Add(4 * time.Second),
	}
	p := NewPlanner(2, now, WithLimit(func(string) int { return 1 }), WithFormer([]Order{former}), WithSupersede())
	p.Want(former.Load)
	c.Assert(ordered(p.Decide(now)), qt.DeepEquals, []string{"a"})
}
