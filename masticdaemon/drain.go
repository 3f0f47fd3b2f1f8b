package masticdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticgate"
	"masticladder/masticview"
)

// drainer ends a host's service without cutting a request. Run is an actor that
// returns when the drain is complete or stopped.
type drainer struct {
	gate     *masticgate.Gate
	announce *announcer
	log      *logrus.Logger
	// listSpan is how long an address answer holds; bound ends the wait for running requests.
	listSpan time.Duration
	bound    time.Duration

	begin     chan struct{}
	beginOnce sync.Once
	stopped   chan struct{}
	stopOnce  sync.Once
}

func newDrainer(g *masticgate.Gate, a *announcer, l *logrus.Logger, listSpan, bound time.Duration) *drainer {
	return &drainer{
		gate:     g,
		announce: a,
		log:      l,
		listSpan: listSpan,
		bound:    bound,
		begin:    make(chan struct{}),
		stopped:  make(chan struct{}),
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
	d.announce.leaving.Store(true)
	if err := d.announce.publish(ctx, masticview.HostLeaving); err != nil {
		d.log.WithError(err).Warn("drain: the address list may still hold this host")
	}
	d.sleep(ctx, d.listSpan)
	d.gate.Drain()
	d.log.WithField("running", d.gate.Running()).Info("drain: refusing new requests")
	err := d.gate.Wait(ctx)
	d.log.WithField("running", d.gate.Running()).Info("drain: done")
	return err
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
