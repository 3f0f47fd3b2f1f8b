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
	"masticladder/masticdrain"
	"masticladder/masticerror"
	"masticladder/masticproto"
)

// idleGate has no running requests and records when Leave and Drain were called.
type idleGate struct {
	requests                  masticdrain.Requests
	leftAt, endsAt, refusedAt time.Time
}

func (g *idleGate) Requests() *masticdrain.Requests { return &g.requests }

func (g *idleGate) Leave(endsAt time.Time) { g.leftAt, g.endsAt = time.Now(), endsAt }

func (g *idleGate) Drain() { g.refusedAt = time.Now() }

func (g *idleGate) EndBy(time.Time) {}

func (g *idleGate) Wait(context.Context) error { return nil }

// slowOperator takes some time to answer a publish, or until its context ends.
type slowOperator struct {
	masticcall.Operator
	delay     time.Duration
	published masticcall.PublishResult
	err       error
}

func (o slowOperator) Publish(ctx context.Context, _ string, _ uint64, _ *masticproto.ViewChange) (masticcall.PublishResult, error) {
	select {
	case <-time.After(o.delay):
		return o.published, o.err
	case <-ctx.Done():
		return masticcall.PublishResult{}, ctx.Err()
	}
}

// TestDrainWaitsForControl: the time after which nothing is accepted that might be cut counted from the answer of the control group,
// which comes late while another host has just been stopped, or never. It counts from the start of the drain, and other hosts'
// address lists have expired by then.
func TestDrainWaitsForControl(t *testing.T) {
	const addressListTTL, viewLeaseLifetime = 5 * time.Second, 2 * time.Second
	for _, x := range []struct {
		name         string
		operator     slowOperator
		drainTimeout time.Duration
		refusal      time.Duration
	}{
		{"in force", slowOperator{delay: time.Second, published: masticcall.PublishResult{InForce: true}}, time.Minute, 7500 * time.Millisecond},
		{"not in force", slowOperator{delay: time.Second}, time.Minute, 7500 * time.Millisecond},
		{"retired by an operator", slowOperator{err: masticerror.New(masticerror.KindBadRequest, "retired")}, time.Minute, 7500 * time.Millisecond},
		{"late", slowOperator{delay: 20 * time.Second, published: masticcall.PublishResult{InForce: true}}, time.Minute, 7500 * time.Millisecond},
		{"no answer", slowOperator{delay: time.Hour}, time.Minute, 7500 * time.Millisecond},
		{"a short drain", slowOperator{delay: time.Hour}, 8 * time.Second, 4 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				log := logrus.New()
				log.SetOutput(io.Discard)
				gate := &idleGate{}
				d := newDrainer(gate, &announcer{operator: x.operator}, log, addressListTTL, viewLeaseLifetime, x.drainTimeout)
				started := time.Now()
				d.start()
				c.Assert(d.run(), qt.IsNil)
				c.Assert(gate.leftAt, qt.Equals, started)
				c.Assert(gate.endsAt, qt.Equals, started.Add(x.drainTimeout))
				c.Assert(gate.refusedAt, qt.Equals, started.Add(x.refusal))
				// An idle host does not wait for control at the end either.
				c.Assert(time.Now(), qt.Equals, started.Add(x.refusal))
			})
		})
	}
}
