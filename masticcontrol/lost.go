package masticcontrol

import (
	"time"

	"github.com/google/uuid"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// lostInterval is the time between two looks for hosts without a lease.
	lostInterval = 500 * time.Millisecond
	// lostSpans is for how many lease spans a host may be without a lease before it is taken
	// out of the address answers.
	lostSpans = 2
)

// absences notes when each host last renewed its view lease.
type absences struct {
	since   time.Time
	renewed map[string]time.Time
	// heard is like renewed, but is not set anew when a host is taken to be lost.
	heard map[string]time.Time
	next  time.Time
}

func newAbsences(now time.Time) *absences {
	return &absences{since: now, renewed: map[string]time.Time{}, heard: map[string]time.Time{}, next: now}
}

// lost returns the live hosts of v that have not renewed for span before now.
func (a *absences) lost(now time.Time, v masticview.View, span time.Duration) []masticview.Host {
	var out []masticview.Host
	for _, h := range v.Hosts() {
		last := a.since
		if t, ok := a.renewed[h.Name]; ok {
			last = t
		}
		if h.State == masticview.HostLive && now.Sub(last) > span {
			out = append(out, h)
		}
	}
	return out
}

// proposeLost takes hosts that fell silent out of the address answers, all in one change. A
// host that comes back announces itself as live.
func (d *leader) proposeLost(now time.Time) {
	if now.Before(d.absences.next) {
		return
	}
	d.absences.next = now.Add(lostInterval)
	change := &masticproto.ViewChange{}
	for _, h := range d.absences.lost(now, d.loop.state.View(), lostSpans*d.loop.viewLease) {
		d.loop.log.WithField("lost", h.Name).WithField("zone", h.Zone).Warn("host lost: it renews no lease")
		change.Hosts = append(change.Hosts, h.WithState(masticview.HostLost).ToProto())
		d.absences.renewed[h.Name] = now
	}
	if len(change.Hosts) == 0 {
		return
	}
	_, _, _ = d.loop.propose(now, &masticproto.Command{Kind: &masticproto.Command_Publish{Publish: &masticproto.Publish{
		RequestId: "lost-" + uuid.NewString(),
		Change:    change,
	}}})
}
