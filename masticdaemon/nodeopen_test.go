package masticdaemon

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

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
