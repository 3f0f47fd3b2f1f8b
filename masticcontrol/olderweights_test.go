package masticcontrol

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticplace"
	"masticladder/masticview"
)

// TestNewerWeightsOfViewOutlastList: a server that went back to older weights, since an earlier order was carried out late, was never
// ordered again, because the newer version in the view went before the list without an end.
func TestNewerWeightsOfViewOutlastList(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	p := &placement{planner: masticplace.NewPlanner(1, now)}
	d := &leaderState{loop: &loop{}, placement: p, olderWeights: olderWeights{}}
	server := func(version string) masticview.Server {
		return masticview.Server{Name: "i", Incarnation: "1", Models: []string{"m"}, WeightsVersion: version, State: masticview.ServerActive}
	}
	versionAt := func(after time.Duration, held, listed string) string {
		d.loop.batchTime = now.Add(after)
		return d.reconcile(server(held), true, server(listed)).WeightsVersion
	}
	c.Check(versionAt(0, "3", "2"), qt.Equals, "3")
	c.Check(versionAt(maxListLag-1, "3", "2"), qt.Equals, "3", qt.Commentf("the list may lag"))
	c.Check(versionAt(maxListLag, "3", "2"), qt.Equals, "2")
	c.Check(versionAt(maxListLag, "2", "2"), qt.Equals, "2")
	c.Check(versionAt(maxListLag, "3", "2"), qt.Equals, "3", qt.Commentf("it was ordered again"))
	c.Check(versionAt(2*maxListLag-1, "4", "2"), qt.Equals, "4", qt.Commentf("the next order has loaded other weights"))
	c.Check(versionAt(2*maxListLag, "4", "3"), qt.Equals, "4", qt.Commentf("the list lags behind that one"))
	c.Check(versionAt(3*maxListLag-1, "4", "3"), qt.Equals, "3")

	p.planner.Request(masticplace.Load{Server: "i", ChecksFencing: true})
	p.planner.Decide(now.Add(4 * maxListLag))
	for _, after := range []time.Duration{4 * maxListLag, 5 * maxListLag} {
		c.Check(versionAt(after, "5", "3"), qt.Equals, "5", qt.Commentf("an order may be running"))
	}
	d.olderWeights.retain(map[string]bool{})
	c.Check(d.olderWeights, qt.HasLen, 0)
}
