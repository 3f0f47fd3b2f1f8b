package masticschedule

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
)

func named(c *qt.C, v masticview.View, version int64) masticview.View {
	next, err := v.Apply(&masticproto.ViewChange{Weights: []*masticproto.Weights{{Model: "m", Version: version}}}, time.UnixMilli(0))
	c.Assert(err, qt.IsNil)
	return next
}

// TestNewestLeavesOldWeightsInTime replays versions named every 2.4 s, faster than they are
// loaded: each has its own deadline, and a later one moves no earlier one.
func TestNewestLeavesOldWeightsInTime(t *testing.T) {
	c := qt.New(t)
	start := time.UnixMilli(1_000_000)
	n := newest{versions: map[string][]namedVersion{}}
	n.take(start, masticview.View{})
	v2 := named(c, masticview.View{}, 2)
	n.take(start, v2)
	n.take(start.Add(2400*time.Millisecond), named(c, v2, 3))
	for _, x := range []struct {
		after  time.Duration
		newest int64
		least  int64
	}{
		{2400 * time.Millisecond, 3, 0},
		{oldWeightsSpan - 1, 3, 0},
		{oldWeightsSpan, 3, 2},
		{oldWeightsSpan + 2400*time.Millisecond - 1, 3, 2},
		{oldWeightsSpan + 2400*time.Millisecond, 3, 3},
	} {
		w := &waiting{request: masticcall.Request{Weights: "m"}}
		n.ask(start.Add(x.after), w)
		c.Assert([2]int64{w.query.Newest, w.query.Least}, qt.Equals, [2]int64{x.newest, x.least}, qt.Commentf("after %v", x.after))
	}
}

// TestNewestOfARestartedHost: what the first view names may have been named long before.
func TestNewestOfARestartedHost(t *testing.T) {
	c := qt.New(t)
	start := time.UnixMilli(1_000_000)
	n := newest{versions: map[string][]namedVersion{}}
	n.take(start, named(c, masticview.View{}, 2))
	w := &waiting{request: masticcall.Request{Weights: "m"}}
	n.ask(start, w)
	c.Assert(w.query.Least, qt.Equals, int64(2))
}
