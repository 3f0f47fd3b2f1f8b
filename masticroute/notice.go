package masticroute

import (
	"time"

	"masticladder/masticview"
)

// Notice is what a backend server has stated about the requests that it takes from this host. Each statement only
// narrows it, so that it does not depend on the order in which answers arrive.
type Notice struct {
	leaving leaving
	// PausedUntil is the time until which the server wants no requests, zero if it never asked for that. It outlasts the
	// incarnation under which it was stated: an answer does not say which process gave it, and the view shows a
	// restart late.
	PausedUntil time.Time
	// pausedAt is when the server last asked for that.
	pausedAt time.Time
}

// WithPause returns n for a server that stated at now that it wants no requests until the given time either.
func (n Notice) WithPause(now, until time.Time) Notice {
	if until.After(n.PausedUntil) {
		n.PausedUntil = until
	}
	if !until.IsZero() {
		n.pausedAt = now
	}
	return n
}

const (
	// maxClockDifference bounds the difference between the clocks of a server and a host.
	maxClockDifference = 10 * time.Second
	// maxFormerPause bounds a pause that a former incarnation may have stated. A server that stated a longer one itself
	// states it again in its next answer.
	maxFormerPause = time.Minute
)

// WithListing returns what may hold for another incarnation of the server, which started at the given time or, if that is
// zero, at an unknown one. A pause ends early only if the process has clearly started after it was stated, or is long.
func (n Notice) WithListing(incarnation string, startedAt time.Time) Notice {
	n.leaving = n.leaving.WithListing(incarnation)
	if !startedAt.IsZero() && startedAt.After(n.pausedAt.Add(maxClockDifference)) {
		n.PausedUntil, n.pausedAt = time.Time{}, time.Time{}
	}
	if end := n.pausedAt.Add(maxFormerPause); n.PausedUntil.After(end) {
		n.PausedUntil = end
	}
	return n
}

// WithoutLeaving returns n for a server of which it is not known that it is leaving.
func (n Notice) WithoutLeaving() Notice {
	n.leaving = leaving{}
	return n
}

// Leaving reports whether the server is being taken out of service.
func (n Notice) Leaving() bool { return n.leaving.stated }

// Allows reports whether the server takes requests at now.
func (n Notice) Allows(now time.Time) bool { return !n.leaving.stated && !now.Before(n.PausedUntil) }

// ObserveNotice applies what an answer of a backend server stated, and reports whether that changed what is known of
// it. incarnation is the listed one when the request was sent; another one may have answered.
func (r *Router) ObserveNotice(now time.Time, name, incarnation string, leaving bool, pausedUntil time.Time) (Notice, bool) {
	slot, ok := r.slots[name]
	if !ok {
		return Notice{}, false
	}
	s := r.servers[slot]
	next := s.notice.WithPause(now, pausedUntil)
	if current := s.info.Incarnation == incarnation; leaving && (current || r.verified) {
		// A server that the list shows as leaving has stated it itself.
		next.leaving = next.leaving.WithStatement(now, current, r.verified && s.info.State == masticview.ServerActive)
	}
	changed := next.Leaving() != s.notice.Leaving() || !next.PausedUntil.Equal(s.notice.PausedUntil)
	s.notice = next
	return next, changed
}

// noServerDelay is the time after which a request comes back if all backend servers are leaving: their
// successors take about a second to be listed. The delay is spread over twice that.
const noServerDelay = time.Second

// NoServerDelay returns the time after which a request should come back for which there is no server.
func (r *Router) NoServerDelay() time.Duration {
	return noServerDelay/2 + time.Duration(r.random.Int64N(int64(noServerDelay)))
}

// withheld collects the servers that could run a request, to find out whether what they state is the only
// reason why none may.
type withheld struct {
	// servers counts them; leaving ones never take requests again.
	servers int
	// resumesAt is the earliest end of a pause, zero if there is none.
	resumesAt time.Time
	// limited are the names of the servers that only state a rate.
	limited []string
}

// add adds a healthy server.
func (w *withheld) add(now time.Time, s *server) {
	w.servers++
	switch {
	case s.notice.Leaving():
	case now.Before(s.notice.PausedUntil):
		if w.resumesAt.IsZero() || s.notice.PausedUntil.Before(w.resumesAt) {
			w.resumesAt = s.notice.PausedUntil
		}
	default:
		w.limited = append(w.limited, s.info.Name)
	}
}

// maxPauseSpread bounds the time over which the requests return that came while all servers of a pool
// wanted none.
const maxPauseSpread = time.Second

// comeBackDelay returns the time after which a request of the pool should come back, the earliest at which
// a server may take it. It reports false if a server takes requests, or if there are none.
func (r *Router) comeBackDelay(now time.Time, pool string, w *withheld) (time.Duration, bool) {
	if w.servers == 0 {
		return 0, false
	}
	if len(w.limited) > 0 {
		delay, limited := r.comeBack(now, pool, w.limited)
		if !limited || w.resumesAt.IsZero() {
			return delay, limited
		}
		return min(delay, r.pauseDelay(now, w.resumesAt)), true
	}
	if w.resumesAt.IsZero() {
		return r.NoServerDelay(), true
	}
	return r.pauseDelay(now, w.resumesAt), true
}

// pauseDelay returns the time to the end of a pause, with a part that spreads the requests that return
// then. It is bounded, because other servers may be added meanwhile.
func (r *Router) pauseDelay(now, resumesAt time.Time) time.Duration {
	left := resumesAt.Sub(now)
	if left > maxComeBackDelay {
		return r.lateComeBackDelay()
	}
	return left + time.Duration(r.random.Int64N(int64(min(left, maxPauseSpread)/2+1)))
}
