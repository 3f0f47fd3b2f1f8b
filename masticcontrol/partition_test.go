package masticcontrol_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticview"
)

// TestIsolatedLeaderDoesNotServeWithdrawnKey isolates the leader together with one agent, and
// checks that no agent with a lease accepts a key that the other side has withdrawn.
func TestIsolatedLeaderDoesNotServeWithdrawnKey(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three)
	c.startAll()
	near, far := c.agent(1), c.agent(2)
	c.publish(near, "first", baseChange(2))
	for _, a := range []*client{near, far} {
		c.eventually("a lease", func() bool { return a.Leased(time.Now()) && a.View().Revision() == 1 })
	}
	old := c.leader(near)
	c.split(old, near, far, c.network.block)

	p, err := far.Operator().Publish(c.context(), "withdraw", 0, keyChange("withdrawn"))
	q.Assert(err, quicktest.IsNil)
	q.Assert(p.InForce, quicktest.IsTrue)
	for _, a := range []*client{near, far} {
		k, _ := a.View().Key("key")
		accepted := a.Leased(time.Now()) && k.State == masticview.KeyActive
		q.Assert(accepted, quicktest.IsFalse)
	}
	q.Assert(near.Leased(time.Now()), quicktest.IsFalse)

	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = near.Operator().Publish(ctx, "lost", 1, keyChange("active"))
	q.Assert(err, quicktest.IsNotNil)
	kind := masticerror.KindOf(err)
	q.Assert(kind == masticerror.KindNoQuorum || kind == masticerror.KindOutcomeUnknown, quicktest.IsTrue, quicktest.Commentf("%v", err))

	c.split(old, near, far, c.network.unblock)
	c.eventually("the isolated agent has the withdrawal", func() bool {
		k, _ := near.View().Key("key")
		return near.Leased(time.Now()) && k.State == masticview.KeyWithdrawn
	})
}

// split partitions the cluster by set: the control host alone and the agent near on one side, the
// other control hosts and the agent far on the other.
func (c *cluster) split(alone string, near, far *client, set func(from, to netip.Addr)) {
	c.isolate(alone, set)
	both := func(a, b netip.Addr) {
		set(a, b)
		set(b, a)
	}
	both(far.ip, c.nodes[alone].ip)
	for _, name := range c.names {
		if name != alone {
			both(near.ip, c.nodes[name].ip)
		}
	}
}
