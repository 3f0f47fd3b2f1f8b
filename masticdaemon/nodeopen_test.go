package masticdaemon

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestOnlySeedsBootstrapAtFirstStart: a host with an empty disk bootstraps a group only if it is a
// seed and the whole system starts for the first time; a replacement, a seed that lost its disk and
// the other control hosts join.
func TestOnlySeedsBootstrapAtFirstStart(t *testing.T) {
	seeds := []string{"10.0.0.1:7600", "10.0.0.2:7600", "10.0.0.3:7600"}
	for _, x := range []struct {
		name    string
		peer    string
		found   bool
		members int
	}{
		{"a seed at the first start", seeds[1], true, 3},
		{"another control host at the first start", "10.0.0.4:7600", true, 0},
		{"a seed that lost its disk", seeds[1], false, 0},
		{"a replacement", "10.0.0.9:7600", false, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			members := initialNodeMembers(NodeSettings{Peer: x.peer, Bootstrap: x.found, Seeds: seeds})
			c.Assert(members, qt.HasLen, x.members)
			for i, m := range members {
				c.Assert([]string{m.GetId(), m.GetAddress()}, qt.DeepEquals, []string{seeds[i], seeds[i]})
				c.Assert(m.GetVoter(), qt.IsTrue)
			}
		})
	}
}

// TestSeedsBootstrapOneGroupInAnySeedOrder: at the first start the seeds, and no other hosts,
// bootstrap the same group in whatever order each is configured with them. A host that starts later
// bootstraps none, whatever its disk holds and whichever seeds it is configured with.
func TestSeedsBootstrapOneGroupInAnySeedOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []string
		for i := range rapid.IntRange(3, 9).Draw(t, "hosts") {
			hosts = append(hosts, fmt.Sprintf("10.0.0.%d:7600", i+1))
		}
		seeds := rapid.Permutation(hosts).Draw(t, "seeds")[:3]
		var group []string
		for _, peer := range hosts {
			seedOrder := rapid.Permutation(seeds).Draw(t, "told")
			var members []string
			for _, m := range initialNodeMembers(NodeSettings{Peer: peer, Bootstrap: true, Seeds: seedOrder}) {
				members = append(members, m.GetId())
			}
			slices.Sort(members)
			switch {
			case slices.Contains(seeds, peer) != (len(members) > 0):
				t.Fatalf("host %s bootstraps %v, but the seeds are %v", peer, members, seeds)
			case len(members) == 0:
			case group == nil:
				group = members
			case !slices.Equal(group, members):
				t.Fatalf("host %s bootstraps %v, but another host bootstraps %v", peer, members, group)
			}
			laterSeeds := rapid.Permutation(hosts).Draw(t, "seeds of a later start")[:rapid.IntRange(1, 3).Draw(t, "number")]
			if m := initialNodeMembers(NodeSettings{Peer: peer, Seeds: laterSeeds}); len(m) > 0 {
				t.Fatalf("host %s bootstraps %v at a later start", peer, m)
			}
		}
	})
}
