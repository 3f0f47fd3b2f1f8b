package masticcontrol

import (
	"time"

	"masticladder/masticquota"
	"masticladder/masticview"
)

const (
	// unreachableTimeout is the time without a lease renewal after which a host counts as
	// unreachable. Hosts renew every 0.45 s, and start admitting from their own shares 0.2 s
	// after an unanswered demand for quota.
	unreachableTimeout = 600 * time.Millisecond
	// unreachableCheckInterval is the time between two checks for unreachable hosts.
	unreachableCheckInterval = 100 * time.Millisecond
)

// outageShares is what hosts that cannot reach the leader may admit without grants.
type outageShares struct {
	// fraction is the fraction of a workspace's rate that all hosts together would admit if every
	// one of them were isolated.
	fraction float64
	// allowanceTokensPerSecond is how far the installation's limit allows them to exceed the rate.
	allowanceTokensPerSecond int64
}

// grantable returns the part of a workspace's limit that the quota's owner may grant while the given
// fraction of the hosts, by weight, is unreachable. The owner and those hosts together then stay within
// the rate and the allowance.
func (s outageShares) grantable(l masticquota.Limit, unreachable float64) masticquota.Limit {
	return l.WithReducedRate(s.fraction*unreachable*l.TokensPerSecond() - float64(s.allowanceTokensPerSecond))
}

// unreachableFraction returns the fraction, by weight, of the hosts serving callers that have not
// renewed within unreachableTimeout. The leader cannot tell whether such a host has stopped or
// still admits requests from its own shares.
func (r *renewals) unreachableFraction(now time.Time, v masticview.View) float64 {
	var total, unreachable int64
	for _, h := range v.Hosts() {
		if h.Address == "" || h.State == masticview.HostRetired {
			continue
		}
		weight := max(1, h.Weight)
		total += weight
		last, ok := r.lastRenewed[h.Name]
		if !ok {
			last = r.takeover
		}
		if now.Sub(last) > unreachableTimeout {
			unreachable += weight
		}
	}
	return float64(unreachable) / float64(max(1, total))
}

// updateUnreachable recomputes the fraction of unreachable hosts once per
// unreachableCheckInterval.
func (d *leaderState) updateUnreachable(now time.Time) {
	if d.loop.outageShares.fraction == 0 || now.Before(d.nextUnreachableCheck) {
		return
	}
	d.nextUnreachableCheck = now.Add(unreachableCheckInterval)
	fraction := d.renewals.unreachableFraction(now, d.loop.state.View())
	if fraction != d.unreachableFraction {
		d.loop.log.WithField("part", fraction).WithField("before", d.unreachableFraction).Info("unreachable fraction of hosts changed")
	}
	d.unreachableFraction = fraction
}
