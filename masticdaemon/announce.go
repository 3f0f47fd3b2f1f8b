package masticdaemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// Spans of the announcer.
const (
	announceInterval = 100 * time.Millisecond
	announcePatience = time.Second
	announceTimeout  = 10 * time.Second
)

// announcer keeps this host's entry in the view in agreement with its settings.
// A host that an operator retired is not announced again; it is drained.
type announcer struct {
	host     masticview.Host
	operator masticcall.Operator
	views    masticcall.Views
	log      *logrus.Logger
	onRetire func()
	// patientUntil is when a host without a view announces itself all the same, as the first of a fleet.
	patientUntil time.Time
	// leaving is set once the host itself drains; it is not announced as live from then on.
	leaving atomic.Bool
	stopped chan struct{}
}

// run is an actor.
func (a *announcer) run() error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.stopped:
			return nil
		case <-ticker.C:
			if a.step() {
				<-a.stopped
				return nil
			}
		}
	}
}

func (a *announcer) stop(error) { close(a.stopped) }

// step announces the host where that is needed and reports whether the host is leaving.
func (a *announcer) step() bool {
	if a.leaving.Load() {
		return false
	}
	view := a.views.View()
	known, ok := view.Host(a.host.Name)
	switch {
	case view.Revision() == 0 && time.Now().Before(a.patientUntil):
		return false
	case ok && known.State == masticview.HostRetired:
		a.log.WithField("host", a.host.Name).Info("announce: an operator retired this host")
		a.onRetire()
		return true
	case ok && known == a.host:
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if _, err := a.publish(ctx, masticview.HostLive); err != nil {
		a.log.WithError(err).Warn("announce: not yet")
	}
	return false
}

// publish sets the host's state in the view.
func (a *announcer) publish(ctx context.Context, state masticview.HostState) (masticcall.Published, error) {
	item := a.host.WithState(state).ToProto()
	return a.operator.Publish(ctx, uuid.NewString(), 0, &masticproto.ViewChange{Hosts: []*masticproto.Host{item}})
}
