package masticdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticdrain"
	"masticladder/masticview"
)

// maxRequestDelay bounds the time from a caller's choice of an address to the arrival of its request.
const maxRequestDelay = 500 * time.Millisecond

// drainable is the component that a drainer shuts down: the one that accepts callers' requests.
type drainable interface {
	Requests() *masticdrain.Requests
	// Leave makes responses announce that their connections close, so that callers have left before the
	// server closes them. The host ends at endsAt: from now on, requests that may not be repeated are
	// refused if they might not be complete by then.
	Leave(endsAt time.Time)
	// Drain makes it refuse all requests that might not be complete when the host ends.
	Drain()
	// EndBy makes it refuse the same when the host ends at endsAt without a drain.
	EndBy(endsAt time.Time)
	Wait(ctx context.Context) error
}

// drainer shuts down a host's service to callers gracefully: running requests get up to
// drainTimeout. Its run method returns when the drain is complete or stopped. All of its deadlines count
// from its start, whether or not the control group answers.
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

// stop ends the drain. Requests that still run, because the host ends without a drain, are told so before the server
// closes their connections.
func (d *drainer) stop(error) {
	d.stopOnce.Do(d.closeStopped)
	d.gate.EndBy(time.Now().Add(closeTimeout - answerMargin))
}

func (d *drainer) closeStopped() { close(d.stopped) }

func (d *drainer) run() error {
	select {
	case <-d.stopped:
		return nil
	case <-d.begin:
	}
	began := time.Now()
	endsAt := began.Add(d.drainTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	d.gate.Leave(endsAt)
	w := &withdrawal{announcer: d.announcer, log: d.log, done: make(chan struct{})}
	d.announcer.leaving.Store(true)
	go w.run(ctx)
	d.running().WithField("refuseInMillis", d.acceptTime().Milliseconds()).
		WithField("endInMillis", d.drainTimeout.Milliseconds()).Info("drain: started; withdrawing this host from address lists")
	d.sleepUntil(ctx, began.Add(d.acceptTime()))
	d.gate.Drain()
	d.running().Info("drain: refusing new requests")
	err := d.gate.Wait(ctx)
	d.running().WithField("millis", time.Since(began).Milliseconds()).Info("drain: finished")
	cancel()
	<-w.done
	return err
}

// running returns an entry with the number of running requests, also by what they wait for.
func (d *drainer) running() *logrus.Entry {
	requests := d.gate.Requests()
	return d.log.WithField("running", requests.Running()).WithField("waitingFor", requests.Stages())
}

// acceptTime returns how long all requests are accepted: until callers have address lists without this host, but
// half of the drain at most, so that the requests accepted last have the other half.
func (d *drainer) acceptTime() time.Duration {
	return min(d.addressListTTL+d.viewLeaseLifetime+maxRequestDelay, d.drainTimeout/2)
}

// withdrawal publishes that a host leaves, so that the others' address lists lack it.
type withdrawal struct {
	announcer *announcer
	log       *logrus.Logger
	done      chan struct{}
}

func (w *withdrawal) run(ctx context.Context) {
	defer close(w.done)
	published, err := w.announcer.publish(ctx, masticview.HostLeaving)
	if err == nil {
		w.announcer.withdrawn.Store(published.Revision)
	}
	switch {
	case err != nil:
		w.log.WithError(err).Warn("drain: publishing the leaving state failed; other hosts list this host until its renewals are missed")
	case !published.InForce:
		w.log.Info("drain: the leaving state is not in force on all hosts; some may list this host until their view leases expire")
	}
}

// sleepUntil waits until at, the end of ctx or stop, whichever comes first.
func (d *drainer) sleepUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-d.stopped:
	}
}
