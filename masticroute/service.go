package masticroute

import (
	"slices"
	"time"

	"masticladder/masticcache"
)

// DecideService returns the usable one of the named backend servers with the fewest running
// calls. It reports false when there is none.
func (r *Router) DecideService(now time.Time, names, avoid []string) (masticcache.Slot, bool) {
	best := masticcache.Slot(-1)
	if len(names) == 0 {
		return best, false
	}
	from := r.random.IntN(len(names))
	for i := range names {
		name := names[(from+i)%len(names)]
		slot, ok := r.slots[name]
		if !ok || !r.servers[slot].usable(now) || slices.Contains(avoid, name) || !r.servers[slot].notice.Allows(now) || !r.limits.Available(now, name) {
			continue
		}
		if best < 0 || r.servers[slot].isBetterForCall(now, r.servers[best]) {
			best = slot
		}
	}
	return best, best >= 0
}

// isBetterForCall reports whether a call goes to s rather than to o: if both count as full, to that which does so for the
// shorter time.
func (s *server) isBetterForCall(now time.Time, o *server) bool {
	full, otherFull := s.rejections.isFull(now), o.rejections.isFull(now)
	switch {
	case full && otherFull:
		return s.rejections.fullUntil.Before(o.rejections.fullUntil)
	case full != otherFull:
		return otherFull
	}
	return s.calls(now) < o.calls(now)
}

// calls returns the number of running calls on s, of this host and of the hosts that report
// theirs.
func (s *server) calls(now time.Time) int64 {
	return int64(s.load.running) + s.load.peersNow(now).running
}

// ServiceStart records that a call was sent to slot.
func (r *Router) ServiceStart(now time.Time, slot masticcache.Slot) {
	r.servers[slot].load.running++
	r.limits.Spend(r.servers[slot].info.Name)
}

// ServiceDone records that a call to slot has ended.
func (r *Router) ServiceDone(now time.Time, slot masticcache.Slot, e End) {
	s := r.servers[slot]
	s.load.running--
	r.ObserveIncarnation(slot, e.Incarnation)
	e.prompt = true
	r.updateHealth(now, s, e)
}

// DrainTime returns how long the engines of model need to compute tokens of work, zero if there are
// none.
func (r *Router) DrainTime(model string, tokens int64) time.Duration {
	speed := 0.0
	for _, p := range r.pools[model] {
		speed += r.meanSpeed * float64(len(p.slots))
	}
	if speed == 0 {
		return 0
	}
	return seconds(float64(tokens) / speed)
}
