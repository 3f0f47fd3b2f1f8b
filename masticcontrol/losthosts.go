package masticcontrol

import (
	"time"

	"github.com/google/uuid"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// lostCheckInterval is the time between two checks for hosts without a lease.
	lostCheckInterval = 500 * time.Millisecond
	// lostAfterLeases is the number of lease lifetimes without a renewal after which a host is
	// removed from the address answers.
	lostAfterLeases = 2
)

// renewals records when each host last renewed its view lease. A host that has never renewed
// counts from takeover, the time this leader took over.
type renewals struct {
	takeover time.Time
	// lostCheckFrom is when each host last renewed, or was last marked as lost if that was later.
	lostCheckFrom map[string]time.Time
	// lastRenewed is when each host last renewed.
	lastRenewed map[string]time.Time
	nextCheck   time.Time
}

func newRenewals(now time.Time) *renewals {
	return &renewals{takeover: now, lostCheckFrom: map[string]time.Time{}, lastRenewed: map[string]time.Time{}, nextCheck: now}
}

// lostHosts returns the live hosts of v that have not renewed within timeout before now.
func (r *renewals) lostHosts(now time.Time, v masticview.View, timeout time.Duration) []masticview.Host {
	var out []masticview.Host
	for _, h := range v.Hosts() {
		last := r.takeover
		if t, ok := r.lostCheckFrom[h.Name]; ok {
			last = t
		}
		if h.State == masticview.HostLive && now.Sub(last) > timeout {
			out = append(out, h)
		}
	}
	return out
}

// proposeLostHosts marks hosts that stopped renewing as lost, all in one change, which removes
// them from the address answers. A host that comes back announces itself as live.
func (d *leaderState) proposeLostHosts(now time.Time) {
	if now.Before(d.renewals.nextCheck) {
		return
	}
	d.renewals.nextCheck = now.Add(lostCheckInterval)
	change := &masticproto.ViewChange{}
	for _, h := range d.renewals.lostHosts(now, d.loop.state.View(), lostAfterLeases*d.loop.viewLeaseLifetime) {
		d.loop.log.WithField("lost", h.Name).WithField("zone", h.Zone).Warn("host lost: it no longer renews its lease")
		change.Hosts = append(change.Hosts, h.WithState(masticview.HostLost).ToProto())
		d.renewals.lostCheckFrom[h.Name] = now
	}
	if len(change.Hosts) == 0 {
		return
	}
	_, _, _ = d.loop.propose(now, &masticproto.Command{Kind: &masticproto.Command_Publish{Publish: &masticproto.Publish{
		RequestId: "lost-" + uuid.NewString(),
		Change:    change,
	}}})
}
