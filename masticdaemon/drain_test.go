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

// quietGate notes when it was told to refuse new requests.
type quietGate struct{ refusedAt time.Time }

func (g *quietGate) Running() int { return 0 }

func (g *quietGate) Drain() { g.refusedAt = time.Now() }

func (g *quietGate) Wait(context.Context) error { return nil }

// slowOperator answers a publish after a second.
type slowOperator struct {
	masticcall.Operator
	published masticcall.Published
	err       error
}

func (o slowOperator) Publish(context.Context, string, uint64, *masticproto.ViewChange) (masticcall.Published, error) {
	time.Sleep(time.Second)
	return o.published, o.err
}

// TestDrainServesUntilEveryAddressAnswerHasRunOut: another host may hand out this one until
// the change is in force there, and a caller may use that answer to its end.
func TestDrainServesUntilEveryAddressAnswerHasRunOut(t *testing.T) {
	const list, lease = 5 * time.Second, 2 * time.Second
	for _, x := range []struct {
		name     string
		operator slowOperator
		earliest time.Duration
	}{
		{"inForce", slowOperator{published: masticcall.Published{InForce: true}}, time.Second + list},
		{"notInForce", slowOperator{}, time.Second + lease + list},
		{"retiredByAnOperator", slowOperator{err: masticerror.New(masticerror.KindBadRequest, "retired")}, time.Second + lease + list},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				log := logrus.New()
				log.SetOutput(io.Discard)
				gate := &quietGate{}
				d := newDrainer(gate, &announcer{operator: x.operator}, log, list, lease, time.Minute)
				started := time.Now()
				d.start()
				c.Assert(d.run(), qt.IsNil)
				c.Assert(gate.refusedAt.Before(started.Add(x.earliest+requestTransit)), qt.IsFalse)
			})
		})
	}
}
