package masticdaemon

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// TestOnlyTheFirstStartFounds: an empty disk founds a group only at the first start of the
// whole system and on a seed; a replacement, a wiped seed and the other control hosts join.
func TestOnlyTheFirstStartFounds(t *testing.T) {
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
			members := founders(NodeSettings{Peer: x.peer, Found: x.found, Founders: seeds})
			c.Assert(members, qt.HasLen, x.members)
			for i, m := range members {
				c.Assert([]string{m.GetId(), m.GetAddress()}, qt.DeepEquals, []string{seeds[i], seeds[i]})
				c.Assert(m.GetVoter(), qt.IsTrue)
			}
		})
	}
}

// TestOneGroupWhateverTheSeeds: at the first start the seeds, and no others, found one and the
// same group in whatever order they were told; whoever comes later founds none, whatever its
// disk and its seeds.
func TestOneGroupWhateverTheSeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []string
		for i := range rapid.IntRange(3, 9).Draw(t, "hosts") {
			hosts = append(hosts, fmt.Sprintf("10.0.0.%d:7600", i+1))
		}
		seeds := rapid.Permutation(hosts).Draw(t, "seeds")[:3]
		var group []string
		for _, peer := range hosts {
			told := rapid.Permutation(seeds).Draw(t, "told")
			var members []string
			for _, m := range founders(NodeSettings{Peer: peer, Found: true, Founders: told}) {
				members = append(members, m.GetId())
			}
			slices.Sort(members)
			switch {
			case slices.Contains(seeds, peer) != (len(members) > 0):
				t.Fatalf("%s founds %v, the seeds are %v", peer, members, seeds)
			case len(members) == 0:
			case group == nil:
				group = members
			case !slices.Equal(group, members):
				t.Fatalf("%s founds %v, another host %v", peer, members, group)
			}
			later := rapid.Permutation(hosts).Draw(t, "seeds of a later start")[:rapid.IntRange(1, 3).Draw(t, "number")]
			if m := founders(NodeSettings{Peer: peer, Founders: later}); len(m) > 0 {
				t.Fatalf("%s founds %v at a later start", peer, m)
			}
		}
	})
}
