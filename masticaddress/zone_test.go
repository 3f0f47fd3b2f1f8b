package masticaddress

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// TestNearIncludesHostsByWeight checks that a host with a fifth of the weight of the others is in
// about a fifth as many results.
func TestNearIncludesHostsByWeight(t *testing.T) {
	c := qt.New(t)
	change := &masticproto.ViewChange{}
	for i, weight := range []int64{10, 50, 50, 50} {
		h := masticview.Host{Name: fmt.Sprint("h", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Weight: weight, State: masticview.HostLive}
		change.Hosts = append(change.Hosts, h.ToProto())
	}
	v, err := masticview.View{}.Apply(change, time.UnixMilli(0))
	c.Assert(err, qt.IsNil)
	const results = 4000
	counts := map[string]int{}
	for range results {
		hosts := HostsForZone(v, "a")
		c.Assert(len(hosts) >= minZoneHosts, qt.IsTrue)
		for _, h := range hosts {
			counts[h.Name]++
		}
	}
	c.Assert(counts["h1"], qt.Equals, results)
	// The bounds are ten standard deviations of 4,000 draws at a fifth.
	c.Assert(counts["h0"] > 550 && counts["h0"] < 1050, qt.IsTrue, qt.Commentf("%d of %d", counts["h0"], results))
}
