package masticroute

import (
	"slices"
	"time"

	"masticladder/masticlimit"
	"masticladder/masticview"
)

// maxComeBackDelay bounds the time after which a request is told to come back that the rates of its
// pool had no room for. Later ones are spread over its second half.
const maxComeBackDelay = 4 * time.Second

// Limits returns the request rates that backend servers state.
func (r *Router) Limits() *masticlimit.Sharer { return r.limits }

// incarnationOf implements masticlimit.Listed.
func (r *Router) incarnationOf(name string) (string, bool) {
	slot, ok := r.slots[name]
	if !ok || !r.servers[slot].listed {
		return "", false
	}
	return r.servers[slot].info.Incarnation, true
}

// setLimitHosts passes the hosts of the view on to the limits.
func (r *Router) setLimitHosts(all []masticview.Host) {
	r.limits.UpdateListed()
	var hosts []masticlimit.Host
	for _, h := range all {
		if h.Address != "" && (h.State == masticview.HostLive || h.State == masticview.HostLeaving) {
			hosts = append(hosts, masticlimit.Host{Name: h.Name, Weight: h.Weight, Leaving: h.State == masticview.HostLeaving})
		}
	}
	r.limits.SetHosts(hosts)
}

// WithheldEngines reports whether what engines state about themselves is the only reason why none is
// usable for q, and if so after what time the request should come back.
func (r *Router) WithheldEngines(now time.Time, q *Query) (time.Duration, bool) {
	var w withheld
	for i := range r.pools[q.Model] {
		p := &r.pools[q.Model][i]
		if p.pastDeadline(now, q) {
			continue
		}
		for _, slot := range p.slots {
			if s := r.servers[slot]; r.isEligible(now, s, q) {
				w.add(now, s)
			}
		}
	}
	return r.comeBackDelay(now, q.Model, &w)
}

// WithheldService is WithheldEngines for the named servers of a plain service.
func (r *Router) WithheldService(now time.Time, service string, names, avoid []string) (time.Duration, bool) {
	var w withheld
	for _, name := range names {
		if slot, ok := r.slots[name]; ok && r.servers[slot].usable(now) && !slices.Contains(avoid, name) {
			w.add(now, r.servers[slot])
		}
	}
	return r.comeBackDelay(now, service, &w)
}

// comeBack returns the time after which a refused request should come back: requests of one pool come
// back one after the other, at this host's share of the sum of the rates. It reports false if there is
// no server, or one without a limit.
func (r *Router) comeBack(now time.Time, pool string, names []string) (time.Duration, bool) {
	rate := 0.0
	for _, name := range names {
		share, limited := r.limits.Share(name)
		if !limited {
			return 0, false
		}
		rate += share
	}
	if rate == 0 {
		return 0, false
	}
	at := r.comeBackAt[pool]
	if at.Before(now) {
		at = now
	}
	at = at.Add(min(seconds(1/rate), maxComeBackDelay))
	delay := at.Sub(now)
	if delay > maxComeBackDelay {
		return r.lateComeBackDelay(), true
	}
	r.comeBackAt[pool] = at
	return delay, true
}

// lateComeBackDelay returns the delay of a request that no server takes within maxComeBackDelay.
func (r *Router) lateComeBackDelay() time.Duration {
	return maxComeBackDelay/2 + time.Duration(r.random.Int64N(int64(maxComeBackDelay/2)))
}
