package masticcontrol

import (
	"time"

	"masticladder/masticview"
)

const (
	// apartSpan is after how long without a renewal a host counts as out of reach. Hosts renew
	// each 0.45 s and admit from their own shares 0.2 s after a demand without an answer.
	apartSpan = 600 * time.Millisecond
	// apartInterval is the time between two looks for such hosts.
	apartInterval = 100 * time.Millisecond
)

// ownShares is what hosts out of the leader's reach may admit by themselves.
type ownShares struct {
	// part is the part of a workspace's rate that all hosts together would admit so.
	part float64
	// spare is what the users allow beyond the rate for it, in tokens per second.
	spare int64
}

// left returns what of a rate the owner may grant while hosts with the given part of the
// weight are out of reach, so that they and the owner together stay within the rate and spare.
func (s ownShares) left(rate int64, apart float64) int64 {
	return rate - min(rate, max(0, int64(s.part*apart*float64(rate))-s.spare))
}

// apart returns the part, by weight, of the hosts that take callers and have not renewed.
// They may have ended, or serve on from their shares: the leader cannot tell.
func (a *absences) apart(now time.Time, v masticview.View) float64 {
	var all, apart int64
	for _, h := range v.Hosts() {
		if h.Address == "" || h.State == masticview.HostRetired {
			continue
		}
		weight := max(1, h.Weight)
		all += weight
		last, ok := a.heard[h.Name]
		if !ok {
			last = a.since
		}
		if now.Sub(last) > apartSpan {
			apart += weight
		}
	}
	return float64(apart) / float64(max(1, all))
}

// noteApart looks for hosts out of reach, now and then.
func (d *leader) noteApart(now time.Time) {
	if d.loop.ownShares.part == 0 || now.Before(d.apartFrom) {
		return
	}
	d.apartFrom = now.Add(apartInterval)
	apart := d.absences.apart(now, d.loop.state.View())
	if apart != d.apart {
		d.loop.log.WithField("part", apart).WithField("before", d.apart).Info("hosts out of reach: their part of the quotas is not granted")
	}
	d.apart = apart
}
