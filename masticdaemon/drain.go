package masticdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticview"
)

// requestTransit is the longest time from a caller's choice of an address to its request.
const requestTransit = 500 * time.Millisecond

// drainable is what a drainer ends: the gate towards callers.
type drainable interface {
	Running() int
	Drain()
	Wait(ctx context.Context) error
}

// drainer ends a host's service without cutting a request. Run is an actor that
// returns when the drain is complete or stopped.
type drainer struct {
	gate     drainable
	announce *announcer
	log      *logrus.Logger
	// listSpan is how long an address answer holds, leaseSpan how long a host may still serve
	// from an older view; bound ends the wait for running requests.
	listSpan  time.Duration
	leaseSpan time.Duration
	bound     time.Duration

	begin     chan struct{}
	beginOnce sync.Once
	stopped   chan struct{}
	stopOnce  sync.Once
}

func newDrainer(g drainable, a *announcer, l *logrus.Logger, listSpan, leaseSpan, bound time.Duration) *drainer {
	return &drainer{
		gate:      g,
		announce:  a,
		log:       l,
		listSpan:  listSpan,
		leaseSpan: leaseSpan,
		bound:     bound,
		begin:     make(chan struct{}),
		stopped:   make(chan struct{}),
	}
}

// start begins the drain; further calls do nothing.
func (d *drainer) start() { d.beginOnce.Do(d.signal) }

func (d *drainer) signal() { close(d.begin) }

func (d *drainer) stop(error) { d.stopOnce.Do(d.halt) }

func (d *drainer) halt() { close(d.stopped) }

func (d *drainer) run() error {
	select {
	case <-d.stopped:
		return nil
	case <-d.begin:
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.bound)
	defer cancel()
	d.log.WithField("running", d.gate.Running()).Info("drain: leaving the address list")
	d.sleep(ctx, d.leave(ctx))
	d.gate.Drain()
	d.log.WithField("running", d.gate.Running()).Info("drain: refusing new requests")
	err := d.gate.Wait(ctx)
	d.log.WithField("running", d.gate.Running()).Info("drain: done")
	return err
}

// leave takes the host out of the address answers and returns for how long callers may
// still come: until every answer has run out that another host gave from an older view.
func (d *drainer) leave(ctx context.Context) time.Duration {
	span := d.listSpan + requestTransit
	d.announce.leaving.Store(true)
	published, err := d.announce.publish(ctx, masticview.HostLeaving)
	if err != nil {
		d.log.WithError(err).Info("drain: not announced; other hosts may list this one for a lease span")
	}
	if err != nil || !published.InForce {
		span += d.leaseSpan
	}
	return span
}

// sleep waits until every address answer handed out has run out.
func (d *drainer) sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-d.stopped:
	}
}
