package masticdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticview"
)

// maxRequestDelay bounds the time from a caller's choice of an address to the arrival of its request.
const maxRequestDelay = 500 * time.Millisecond

// drainable is the component that a drainer shuts down: the one that accepts callers' requests.
type drainable interface {
	Running() int
	Drain()
	Wait(ctx context.Context) error
	// Leave makes responses announce that their connections close, so that callers have left before the
	// server closes them.
	Leave()
}

// drainer shuts down a host's service to callers gracefully: running requests get up to
// drainTimeout. Its run method returns when the drain is complete or stopped.
type drainer struct {
	gate      drainable
	announcer *announcer
	log       *logrus.Logger
	// addressListTTL is how long callers may use an address list; viewLeaseLifetime is how long
	// another host may serve from an older view; drainTimeout bounds the whole drain, including
	// the wait for running requests.
	addressListTTL    time.Duration
	viewLeaseLifetime time.Duration
	drainTimeout      time.Duration

	begin     chan struct{}
	beginOnce sync.Once
	stopped   chan struct{}
	stopOnce  sync.Once
}

func newDrainer(g drainable, a *announcer, l *logrus.Logger, addressListTTL, viewLeaseLifetime, drainTimeout time.Duration) *drainer {
	return &drainer{
		gate:              g,
		announcer:         a,
		log:               l,
		addressListTTL:    addressListTTL,
		viewLeaseLifetime: viewLeaseLifetime,
		drainTimeout:      drainTimeout,
		begin:             make(chan struct{}),
		stopped:           make(chan struct{}),
	}
}

// start starts the drain; further calls have no effect.
func (d *drainer) start() { d.beginOnce.Do(d.closeBegin) }

func (d *drainer) closeBegin() { close(d.begin) }

func (d *drainer) stop(error) { d.stopOnce.Do(d.closeStopped) }

func (d *drainer) closeStopped() { close(d.stopped) }

func (d *drainer) run() error {
	select {
	case <-d.stopped:
		return nil
	case <-d.begin:
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.drainTimeout)
	defer cancel()
	d.gate.Leave()
	d.log.WithField("running", d.gate.Running()).Info("drain: started; withdrawing this host from address lists")
	d.sleep(ctx, d.publishLeaving(ctx))
	d.gate.Drain()
	d.log.WithField("running", d.gate.Running()).Info("drain: refusing new requests")
	err := d.gate.Wait(ctx)
	d.log.WithField("running", d.gate.Running()).Info("drain: finished")
	return err
}

// publishLeaving removes the host from address lists. Returns how long callers may still send new
// requests: until every list expires that another host created from an older view.
func (d *drainer) publishLeaving(ctx context.Context) time.Duration {
	delay := d.addressListTTL + maxRequestDelay
	d.announcer.leaving.Store(true)
	published, err := d.announcer.publish(ctx, masticview.HostLeaving)
	if err != nil {
		d.log.WithError(err).Info("drain: publishing the leaving state failed; other hosts may list this host until their view leases expire")
	}
	if err != nil || !published.InForce {
		delay += d.viewLeaseLifetime
	}
	return delay
}

// sleep waits for delay, the end of ctx or stop, whichever comes first.
func (d *drainer) sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-d.stopped:
	}
}
