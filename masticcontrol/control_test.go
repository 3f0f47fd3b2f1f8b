package masticcontrol_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticview"
)

var three = []string{"a", "b", "c"}

func TestPublishLeaseWithdrawalAndOrder(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three)
	c.startAll()
	agents := []*client{c.agent(1), c.agent(2), c.agent(3)}
	c.publish(agents[0], "first", baseChange(3))
	for _, a := range agents {
		c.eventually("a lease", func() bool { return a.Leased(time.Now()) && a.View().Revision() == 1 })
	}

	p, err := agents[1].Operator().Publish(c.context(), "withdraw", 1, keyChange("withdrawn"))
	q.Assert(err, quicktest.IsNil)
	q.Assert(p.InForce, quicktest.IsTrue)
	for _, a := range agents {
		k, _ := a.View().Key("key")
		q.Assert(k.State, quicktest.Equals, masticview.KeyWithdrawn)
	}

	key := masticcall.OrderKey{Workspace: "saws", IdempotencyKey: "order-1"}
	digest := masticview.DigestOf([]byte("order"))
	r, err := agents[0].Ledger().Reserve(c.context(), key, digest, time.Now().Add(testTimeout))
	q.Assert(err, quicktest.IsNil)
	q.Assert(r.State, quicktest.Equals, masticcall.OrderReserved)

	c.stop(c.leader(agents[0]))
	r, err = agents[1].Ledger().Reserve(c.context(), key, digest, time.Now().Add(testTimeout))
	q.Assert(err, quicktest.IsNil)
	q.Assert(r.State, quicktest.Equals, masticcall.OrderInFlight)
	answer := masticcall.StoredAnswer{Status: 201, Body: []byte("booked")}
	q.Assert(agents[0].Ledger().Record(c.context(), key, &answer), quicktest.IsNil)
	r, err = agents[2].Ledger().Reserve(c.context(), key, digest, time.Now().Add(testTimeout))
	q.Assert(err, quicktest.IsNil)
	q.Assert(r.State, quicktest.Equals, masticcall.OrderDone)
	q.Assert(string(r.Answer.Body), quicktest.Equals, "booked")
}
