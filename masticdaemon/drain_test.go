package masticdaemon

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
)

// idleGate has no running requests and records when Leave and Drain were called.
type idleGate struct{ leftAt, refusedAt time.Time }

func (g *idleGate) Running() int { return 0 }

func (g *idleGate) Leave() { g.leftAt = time.Now() }

func (g *idleGate) Drain() { g.refusedAt = time.Now() }

func (g *idleGate) Wait(context.Context) error { return nil }

// slowOperator takes 1 s to answer a publish.
type slowOperator struct {
	masticcall.Operator
	published masticcall.PublishResult
	err       error
}

func (o slowOperator) Publish(context.Context, string, uint64, *masticproto.ViewChange) (masticcall.PublishResult, error) {
	time.Sleep(time.Second)
	return o.published, o.err
}

// TestDrainServesUntilAddressListsExpire: other hosts may list the draining host until the change
// is in force there, and callers may use such a list until it expires.
func TestDrainServesUntilAddressListsExpire(t *testing.T) {
	const addressListTTL, viewLeaseLifetime = 5 * time.Second, 2 * time.Second
	for _, x := range []struct {
		name            string
		operator        slowOperator
		earliestRefusal time.Duration
	}{
		{"inForce", slowOperator{published: masticcall.PublishResult{InForce: true}}, time.Second + addressListTTL},
		{"notInForce", slowOperator{}, time.Second + viewLeaseLifetime + addressListTTL},
		{"retiredByAnOperator", slowOperator{err: masticerror.New(masticerror.KindBadRequest, "retired")}, time.Second + viewLeaseLifetime + addressListTTL},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				log := logrus.New()
				log.SetOutput(io.Discard)
				gate := &idleGate{}
				d := newDrainer(gate, &announcer{operator: x.operator}, log, addressListTTL, viewLeaseLifetime, time.Minute)
				started := time.Now()
				d.start()
				c.Assert(d.run(), qt.IsNil)
				c.Assert(gate.leftAt, qt.Equals, started)
				c.Assert(gate.refusedAt.Before(started.Add(x.earliestRefusal+maxRequestDelay)), qt.IsFalse)
			})
		})
	}
}
