package masticagent

import (
	"sync/atomic"
	"time"

	"masticladder/masticclock"
	"masticladder/masticproto"
	"masticladder/masticring"
	"masticladder/masticview"
)

const viewUpdateCapacity = 64

// views holds this host's copy of the view. Only loop writes it; any goroutine may read the
// newest.
type views struct {
	agent   *Agent
	updates *masticring.Ring[*masticproto.ViewUpdate]
	newest  atomic.Pointer[masticview.View]
	// local is what newest is made from. Only loop uses it.
	local          localView
	leaseExpiresAt atomic.Pointer[time.Time]
	// lastAnswerAt is when the leader last answered a renewal.
	lastAnswerAt atomic.Pointer[time.Time]
	// newestKnown is the revision that the leader stated last.
	newestKnown atomic.Uint64
}

func newViews(a *Agent) *views {
	v := &views{agent: a, updates: masticring.New[*masticproto.ViewUpdate]("view updates", viewUpdateCapacity)}
	v.newest.Store(&masticview.View{})
	v.leaseExpiresAt.Store(&time.Time{})
	v.lastAnswerAt.Store(&time.Time{})
	return v
}

func (v *views) view() masticview.View { return *v.newest.Load() }

// leaseExpiry returns when the lease expires, on the monotonic clock.
func (v *views) leaseExpiry() time.Time { return *v.leaseExpiresAt.Load() }

func (v *views) leased(now time.Time) bool { return now.Before(v.leaseExpiry()) }

// setLease sets when the lease expires. Only the renewer calls it.
func (v *views) setLease(expiresAt time.Time) { v.leaseExpiresAt.Store(&expiresAt) }

// relayMinHosts is the number of entry hosts from which renewals go through any member of the control group,
// which passes those of several hosts on to the leader in one call. With few hosts the leader answers them
// sooner itself.
const relayMinHosts = 40

// relaysRenewals reports whether renewals go through any member. A host without a view does not know how many
// there are.
func (v *views) relaysRenewals() bool {
	view := v.view()
	if view.Revision() == 0 {
		return true
	}
	entries := 0
	for _, h := range view.Hosts() {
		if h.Address != "" && h.State != masticview.HostRetired {
			entries++
		}
	}
	return entries >= relayMinHosts
}

// reachableTimeout is the time without an answer after which the leader counts as unreachable.
const reachableTimeout = 1500 * time.Millisecond

// outdated reports whether the leader has stated a newer revision than that of the view.
func (v *views) outdated() bool { return v.newestKnown.Load() > v.view().Revision() }

func (v *views) recordAnswer(now time.Time) { v.lastAnswerAt.Store(&now) }

func (v *views) controlReachable() bool {
	return masticclock.Now().Before(v.lastAnswerAt.Load().Add(reachableTimeout))
}

// loop applies updates until the ring is closed.
func (v *views) loop() {
	defer v.agent.running.Done()
	for u := range v.updates.Out() {
		v.apply(u)
	}
}

func (v *views) apply(u *masticproto.ViewUpdate) {
	if s := u.GetSuspects(); s != nil {
		v.agent.suspects.update(s)
	}
	old := v.view()
	local, err := v.local.withUpdate(time.Now(), u)
	if err != nil {
		v.agent.log.WithError(err).Warn("view update does not follow this host's revision; restarting the view stream")
		v.agent.watcher.restart()
		return
	}
	next := local.view()
	if next.Revision() <= old.Revision() {
		return
	}
	v.local = local
	v.newest.Store(&next)
	if !v.agent.lazyAcknowledgement {
		v.agent.renewer.renewNow()
	}
	v.agent.log.WithField("revision", next.Revision()).Info("view updated")
	if v.agent.onView != nil {
		v.agent.onView(next)
	}
}

// applyUpdate returns v with u applied. Parts of u that are not newer than v are skipped.
func applyUpdate(v masticview.View, u *masticproto.ViewUpdate) (masticview.View, error) {
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
