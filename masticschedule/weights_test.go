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

func withWeightsVersion(c *qt.C, v masticview.View, version int64) masticview.View {
	next, err := v.Apply(&masticproto.ViewChange{Weights: []*masticproto.Weights{{Model: "m", Version: version}}}, time.UnixMilli(0))
	c.Assert(err, qt.IsNil)
	return next
}

// TestOldWeightsAreExcludedAfterTheirWindow announces versions every 2.4 s, faster than they
// are loaded: each has its own deadline, which a later version does not move.
func TestOldWeightsAreExcludedAfterTheirWindow(t *testing.T) {
	c := qt.New(t)
	start := time.UnixMilli(1_000_000)
	a := newAnnouncedVersions(DefaultOldWeightsTimeout)
	a.update(start, masticview.View{})
	v2 := withWeightsVersion(c, masticview.View{}, 2)
	a.update(start, v2)
	a.update(start.Add(2400*time.Millisecond), withWeightsVersion(c, v2, 3))
	const oldWeightsWindow = 5200 * time.Millisecond
	for _, x := range []struct {
		after time.Duration
		// excluded is the highest version on which no request may start any more.
		excluded int64
	}{
		{2400 * time.Millisecond, 0},
		{oldWeightsWindow - 1, 0},
		{oldWeightsWindow, 1},
		{oldWeightsWindow + 2400*time.Millisecond - 1, 1},
		{oldWeightsWindow + 2400*time.Millisecond, 2},
	} {
		w := &waiting{request: masticcall.Request{Weights: "m"}}
		now := start.Add(x.after)
		a.setQueryVersions(now, w)
		c.Assert(highestExcludedVersion(now, w), qt.Equals, x.excluded, qt.Commentf("after %v", x.after))
	}
}

// TestOldWeightsAreExcludedBeforeTheirTimeout: on a site that allows 10 s, hosts used no older weights after 5.2 s, and
// sent all requests to the one engine that had loaded the new ones while control was slow.
func TestOldWeightsAreExcludedBeforeTheirTimeout(t *testing.T) {
	c := qt.New(t)
	start := time.UnixMilli(1_000_000)
	s := New(masticroute.New(), WithOldWeightsTimeout(10*time.Second))
	s.SetView(start, masticview.View{})
	s.SetView(start, withWeightsVersion(c, masticview.View{}, 2))
	for after, excluded := range map[time.Duration]int64{5200 * time.Millisecond: 0, 9200*time.Millisecond - 1: 0, 9200 * time.Millisecond: 1} {
		w := &waiting{request: masticcall.Request{Weights: "m"}}
		s.announced.setQueryVersions(start.Add(after), w)
		c.Assert(highestExcludedVersion(start.Add(after), w), qt.Equals, excluded, qt.Commentf("after %v", after))
	}
}

// highestExcludedVersion returns the highest version on which w may not start at now.
func highestExcludedVersion(now time.Time, w *waiting) int64 {
	var out int64
	for _, v := range w.query.Versions {
		if !now.Before(v.Deadline) {
			out = v.Version - 1
		}
	}
	return out
}

// TestFirstViewExcludesOldWeightsSoon covers a restarted host: versions in its first view may have been
// announced long before.
func TestFirstViewExcludesOldWeightsSoon(t *testing.T) {
	c := qt.New(t)
	start := time.UnixMilli(1_000_000)
	a := newAnnouncedVersions(DefaultOldWeightsTimeout)
	a.update(start, withWeightsVersion(c, masticview.View{}, 2))
	a.update(start.Add(time.Second), withWeightsVersion(c, masticview.View{}, 2))
	for after, excluded := range map[time.Duration]int64{0: 0, firstViewWindow - 1: 0, firstViewWindow: 1} {
		w := &waiting{request: masticcall.Request{Weights: "m"}}
		a.setQueryVersions(start.Add(after), w)
		c.Assert(highestExcludedVersion(start.Add(after), w), qt.Equals, excluded, qt.Commentf("after %v", after))
	}
}

// TestRestartedHostsRefuseUntilWeightsAreLoaded: after a restart of all hosts just after new weights had been
// announced, all engines had the old ones, and every request was refused until the first load was done.
func TestRestartedHostsRefuseUntilWeightsAreLoaded(t *testing.T) {
	c := qt.New(t)
	v := viewOf(masticview.ServerActive, masticview.ServerLoading)
	v, err := v.Apply(&masticproto.ViewChange{Weights: []*masticproto.Weights{{Model: "saw", Version: 2}}}, start)
	c.Assert(err, qt.IsNil)
	s := New(masticroute.New(masticroute.WithSeed(1)))
	s.SetView(start, v)
	r := requestOf("mill")
	r.Weights = "saw"
	s.Submit(start.Add(time.Second), 1, r, promptOf(100))
	c.Assert(onlyOutcome(c, s).Err == nil, qt.IsTrue)
}
