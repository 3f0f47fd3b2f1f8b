package masticaddress

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// TestNearNamesHostsByWeight: a host of a fifth of another's speed is in about a fifth as many answers.
func TestNearNamesHostsByWeight(t *testing.T) {
	c := qt.New(t)
	change := &masticproto.ViewChange{}
	for i, weight := range []int64{10, 50, 50, 50} {
		h := masticview.Host{Name: fmt.Sprint("h", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Weight: weight, State: masticview.HostLive}
		change.Hosts = append(change.Hosts, h.ToProto())
	}
	v, err := masticview.View{}.Apply(change, time.UnixMilli(0))
	c.Assert(err, qt.IsNil)
	const answers = 4000
	named := map[string]int{}
	for range answers {
		hosts := Near(v, "a")
		c.Assert(len(hosts) >= leastNear, qt.IsTrue)
		for _, h := range hosts {
			named[h.Name]++
		}
	}
	c.Assert(named["h1"], qt.Equals, answers)
	// The bounds are ten standard deviations of 4,000 draws at a fifth.
	c.Assert(named["h0"] > 550 && named["h0"] < 1050, qt.IsTrue, qt.Commentf("%d of %d", named["h0"], answers))
}
