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

// TestAbandonedReservationIsReleased cuts the answers to a host that reserves.
func TestAbandonedReservationIsReleased(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three)
	c.startAll()
	cut, other := c.agent(1), c.agent(2)
	c.publish(cut, "first", baseChange(2))
	for _, name := range three {
		c.network.block(c.nodes[name].ip, cut.ip)
	}
	key := masticcall.OrderKey{Workspace: "saws", IdempotencyKey: "order"}
	digest := masticview.DigestOf([]byte("order"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := cut.Ledger().Reserve(ctx, key, digest, time.Now().Add(2*testBound))
	q.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindNoQuorum)
	q.Assert(masticerror.From(err).NotRun(), quicktest.IsTrue)

	for _, name := range three {
		c.network.open(c.nodes[name].ip, cut.ip)
	}
	c.eventually("the reservation is released", func() bool {
		r, err := other.Ledger().Reserve(c.context(), key, digest, time.Now().Add(2*testBound))
		return err == nil && r.State == masticcall.OrderReserved
	})
}

// TestOutcomeIsRecordedInTheBackground cuts a host off while it records an outcome.
func TestOutcomeIsRecordedInTheBackground(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three)
	c.startAll()
	cut, other := c.agent(1), c.agent(2)
	c.publish(cut, "first", baseChange(2))
	key := masticcall.OrderKey{Workspace: "saws", IdempotencyKey: "order"}
	digest := masticview.DigestOf([]byte("order"))
	deadline := time.Now().Add(2 * testBound)
	r, err := cut.Ledger().Reserve(c.context(), key, digest, deadline)
	q.Assert(err, quicktest.IsNil)
	q.Assert(r.State, quicktest.Equals, masticcall.OrderReserved)
	for _, name := range three {
		c.network.block(cut.ip, c.nodes[name].ip)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	q.Assert(cut.Ledger().Record(ctx, key, &masticcall.StoredAnswer{Status: 201}), quicktest.IsNotNil)
	c.stop(c.leader(other))
	for _, name := range three {
		c.network.open(cut.ip, c.nodes[name].ip)
	}
	c.eventually("the recorded answer", func() bool {
		r, err := other.Ledger().Reserve(c.context(), key, digest, deadline)
		return err == nil && r.State == masticcall.OrderDone && r.Answer.Status == 201
	})
}
