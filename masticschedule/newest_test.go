package masticschedule

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticroute"
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
	n := newest{versions: map[string][]masticroute.NamedVersion{}}
	n.take(start, masticview.View{})
	v2 := named(c, masticview.View{}, 2)
	n.take(start, v2)
	n.take(start.Add(2400*time.Millisecond), named(c, v2, 3))
	for _, x := range []struct {
		after time.Duration
		// refused is the highest version on which no request may begin any more.
		refused int64
	}{
		{2400 * time.Millisecond, 0},
		{oldWeightsSpan - 1, 0},
		{oldWeightsSpan, 1},
		{oldWeightsSpan + 2400*time.Millisecond - 1, 1},
		{oldWeightsSpan + 2400*time.Millisecond, 2},
	} {
		w := &waiting{request: masticcall.Request{Weights: "m"}}
		now := start.Add(x.after)
		n.ask(now, w)
		c.Assert(refused(now, w), qt.Equals, x.refused, qt.Commentf("after %v", x.after))
	}
}

// refused returns the highest version on which w may not begin at now.
func refused(now time.Time, w *waiting) int64 {
	var out int64
	for _, v := range w.query.Versions {
		if !now.Before(v.Deadline) {
			out = v.Version - 1
		}
	}
	return out
}

// TestNewestOfARestartedHost: what the first view names may have been named long before.
func TestNewestOfARestartedHost(t *testing.T) {
	c := qt.New(t)
	start := time.UnixMilli(1_000_000)
	n := newest{versions: map[string][]masticroute.NamedVersion{}}
	n.take(start, named(c, masticview.View{}, 2))
	w := &waiting{request: masticcall.Request{Weights: "m"}}
	n.ask(start, w)
	c.Assert(refused(start, w), qt.Equals, int64(1))
}
