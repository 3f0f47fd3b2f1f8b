package masticquorum

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSoleVoterLeadsAtOnce(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 1, 0)
	n.run(time.Millisecond)
	c.Assert(n.hosts[0].core.Status(n.now).LeaseHeld, qt.IsTrue)
	n.propose("a")
	n.restart(n.hosts[0])
	n.run(time.Millisecond)
	c.Assert(n.hosts[0].core.Status(n.now).LeaseHeld, qt.IsTrue)
	c.Assert(n.hosts[0].applied, qt.HasLen, 3)
	c.Assert(n.failure, qt.Equals, "")
}

func TestThreeVotersCommit(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 1)
	n.run(500 * time.Millisecond)
	c.Assert(n.leader(), qt.IsNotNil)
	for range 10 {
		n.propose("a")
	}
	n.run(100 * time.Millisecond)
	c.Assert(n.committed, qt.HasLen, 11)
	for _, h := range n.hosts[:3] {
		c.Assert(h.applied, qt.HasLen, 11)
	}
	c.Assert(n.failure, qt.Equals, "")
}
