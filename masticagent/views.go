package masticagent

import (
	"sync/atomic"
	"time"

	"masticladder/masticclock"
	"masticladder/masticproto"
	"masticladder/masticring"
	"masticladder/masticview"
)

const viewUpdates = 64

// views owns this host's copy of the view. One loop writes it; any goroutine reads
// the newest.
type views struct {
	agent   *Agent
	updates *masticring.Ring[*masticproto.ViewUpdate]
	newest  atomic.Pointer[masticview.View]
	until   atomic.Pointer[time.Time]
	// heardAt is when the leader last answered.
	heardAt atomic.Pointer[time.Time]
}

func newViews(a *Agent) *views {
	v := &views{agent: a, updates: masticring.New[*masticproto.ViewUpdate]("view updates", viewUpdates)}
	v.newest.Store(&masticview.View{})
	v.until.Store(&time.Time{})
	v.heardAt.Store(&time.Time{})
	return v
}

func (v *views) view() masticview.View { return *v.newest.Load() }

// leaseUntil returns the end of the lease, on the monotonic clock.
func (v *views) leaseUntil() time.Time { return *v.until.Load() }

func (v *views) leased(now time.Time) bool { return now.Before(v.leaseUntil()) }

// setLease is called by the renewer only.
func (v *views) setLease(until time.Time) { v.until.Store(&until) }

// silence is for how long the leader may be silent before this host counts as out of reach.
const silence = 1500 * time.Millisecond

func (v *views) heard(now time.Time) { v.heardAt.Store(&now) }

func (v *views) reached() bool { return masticclock.Now().Before(v.heardAt.Load().Add(silence)) }

// loop applies updates until the ring is closed.
func (v *views) loop() {
	defer v.agent.running.Done()
	for u := range v.updates.Out() {
		v.apply(u)
	}
}

func (v *views) apply(u *masticproto.ViewUpdate) {
	if s := u.GetSuspects(); s != nil {
		v.agent.suspects.replace(s)
	}
	old := v.view()
	next, err := updated(old, u)
	if err != nil {
		v.agent.log.WithError(err).Warn("a view update does not follow this host's revision; it is asked for again")
		v.agent.watcher.again()
		return
	}
	if next.Revision() <= old.Revision() {
		return
	}
	v.newest.Store(&next)
	if !v.agent.lazy {
		v.agent.renewer.soon()
	}
	v.agent.log.WithField("revision", next.Revision()).Info("view updated")
	if v.agent.onView != nil {
		v.agent.onView(next)
	}
}

// updated returns the view after u; what is older than the view is skipped.
func updated(v masticview.View, u *masticproto.ViewUpdate) (masticview.View, error) {
	if w := u.GetWhole(); w != nil {
		if w.GetRevision() <= v.Revision() {
			return v, nil
		}
		return masticview.FromSnapshot(w)
	}
	for _, d := range u.GetDeltas() {
		if d.GetRevision() <= v.Revision() {
			continue
		}
		next, err := v.ApplyDelta(d)
		if err != nil {
			return v, err
		}
		v = next
	}
	return v, nil
}
