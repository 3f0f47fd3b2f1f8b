package masticcontrol_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// TestAbandonedReservationIsReleased blocks the answers to a host that reserves an order, and
// checks that the reservation of its failed call is released.
func TestAbandonedReservationIsReleased(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three)
	c.startAll()
	isolated, other := c.agent(1), c.agent(2)
	c.publish(isolated, "first", baseChange(2))
	for _, name := range three {
		c.network.block(c.nodes[name].ip, isolated.ip)
	}
	key := masticcall.OrderKey{Workspace: "saws", IdempotencyKey: "order"}
	digest := masticview.DigestOf([]byte("order"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := isolated.Ledger().Reserve(ctx, key, digest, time.Now().Add(2*testTimeout))
	q.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindNoQuorum)
	q.Assert(masticerror.From(err).NotRun(), quicktest.IsTrue)

	for _, name := range three {
		c.network.unblock(c.nodes[name].ip, isolated.ip)
	}
	c.eventually("the reservation is released", func() bool {
		r, err := other.Ledger().Reserve(c.context(), key, digest, time.Now().Add(2*testTimeout))
		return err == nil && r.State == masticcall.OrderReserved
	})
}

// TestOutcomeIsRecordedInTheBackground isolates a host while it records an outcome, and checks
// that the outcome is recorded once the host is reachable again.
func TestOutcomeIsRecordedInTheBackground(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three)
	c.startAll()
	isolated, other := c.agent(1), c.agent(2)
	c.publish(isolated, "first", baseChange(2))
	key := masticcall.OrderKey{Workspace: "saws", IdempotencyKey: "order"}
	digest := masticview.DigestOf([]byte("order"))
	deadline := time.Now().Add(2 * testTimeout)
	r, err := isolated.Ledger().Reserve(c.context(), key, digest, deadline)
	q.Assert(err, quicktest.IsNil)
	q.Assert(r.State, quicktest.Equals, masticcall.OrderReserved)
	for _, name := range three {
		c.network.block(isolated.ip, c.nodes[name].ip)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	q.Assert(isolated.Ledger().Record(ctx, key, &masticcall.StoredAnswer{Status: 201}), quicktest.IsNotNil)
	c.stop(c.leader(other))
	for _, name := range three {
		c.network.unblock(isolated.ip, c.nodes[name].ip)
	}
	c.eventually("the recorded answer", func() bool {
		r, err := other.Ledger().Reserve(c.context(), key, digest, deadline)
		return err == nil && r.State == masticcall.OrderDone && r.Answer.Status == 201
	})
}
