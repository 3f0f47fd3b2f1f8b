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

// Interval and timeout of announcements, and how long a host without a view waits before its first.
const (
	announceInterval   = 100 * time.Millisecond
	firstAnnounceDelay = time.Second
	announceTimeout    = 10 * time.Second
)

// announcer publishes this host's entry whenever the entry in the view differs from the host's
// settings. A host that an operator retired is not announced again; it is drained.
type announcer struct {
	host     masticview.Host
	operator masticcall.Operator
	views    masticcall.Views
	log      *logrus.Logger
	onRetire func()
	// firstAnnounceAt is the time from which a host announces itself even without a view, since
	// it may be the first host of the fleet.
	firstAnnounceAt time.Time
	// leaving is set when the host starts to drain. From then on reconcile no longer announces the host.
	leaving atomic.Bool
	// withdrawn is the revision of the view in which the host is leaving, zero until that is published.
	withdrawn atomic.Uint64
	// context ends when the announcer is stopped.
	context context.Context
	cancel  context.CancelFunc
}

// run is the execute function of the announcer's actor.
func (a *announcer) run() error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.context.Done():
			return nil
		case <-ticker.C:
			if a.reconcile() {
				<-a.context.Done()
				return nil
			}
		}
	}
}

func (a *announcer) stop(error) { a.cancel() }

// reconcile publishes the host's entry if the view lacks it or holds another one. Returns true if
// an operator retired the host, after calling onRetire.
func (a *announcer) reconcile() bool {
	if a.leaving.Load() {
		a.withdrawAgain()
		return false
	}
	view := a.views.View()
	known, ok := view.Host(a.host.Name)
	switch {
	case view.Revision() == 0 && time.Now().Before(a.firstAnnounceAt):
		return false
	case ok && known.State == masticview.HostRetired:
		a.log.WithField("host", a.host.Name).Info("announce: host retired by an operator; draining")
		a.onRetire()
		return true
	case ok && known == a.host:
		return false
	}
	ctx, cancel := context.WithTimeout(a.context, announceTimeout)
	defer cancel()
	if _, err := a.publish(ctx, masticview.HostLive); err != nil {
		a.log.WithError(err).Warn("announce: publishing the host entry failed; retrying")
	}
	return false
}

// withdrawAgain publishes that the host leaves if an announcement that was on its way was committed after the withdrawal.
func (a *announcer) withdrawAgain() {
	view, withdrawn := a.views.View(), a.withdrawn.Load()
	known, ok := view.Host(a.host.Name)
	if withdrawn == 0 || view.Revision() < withdrawn || !ok || known.State != masticview.HostLive {
		return
	}
	ctx, cancel := context.WithTimeout(a.context, announceTimeout)
	defer cancel()
	if _, err := a.publish(ctx, masticview.HostLeaving); err != nil {
		a.log.WithError(err).Warn("announce: publishing the leaving state again failed; retrying")
	}
}

// publish publishes the host's entry with the given state.
func (a *announcer) publish(ctx context.Context, state masticview.HostState) (masticcall.PublishResult, error) {
	item := a.host.WithState(state).ToProto()
	return a.operator.Publish(ctx, uuid.NewString(), 0, &masticproto.ViewChange{Hosts: []*masticproto.Host{item}})
}
