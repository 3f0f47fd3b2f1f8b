package masticroute

import (
	"time"

	"masticladder/masticview"
)

const (
	// attributionTimeout is the time from a statement to a check whose answer tells which incarnation stated it: a process
	// does not end and start again within it.
	attributionTimeout = time.Second
	// leavingTimeout is the time after which a server that is still listed, and does not state in checks that it is leaving,
	// gets requests again if it never stated that while it was listed.
	leavingTimeout = time.Minute
)

// leaving is what is known of a backend server's statement that it is leaving. An answer does not say which incarnation
// gave it, and the view shows a restart late, so that a check tells. It is immutable.
type leaving struct {
	stated bool
	// statedAt is when the server stated it first, of the statements that a check is to tell of, and lastAt when last. A
	// leaving server states it in the answers to checks too.
	statedAt, lastAt time.Time
	// incarnation is the one that stated it, empty if that is not known.
	incarnation string
	// restarted reports that another incarnation has been listed since.
	restarted bool
	// unverified reports that a check is to tell whether the listed incarnation stated it.
	unverified bool
	// assumed reports that incarnation has not stated it since it is listed.
	assumed bool
}

// WithStatement returns n for a server that stated at now that it is leaving. current reports that the request was sent
// while the listed incarnation was listed, verified that checks are made.
func (n leaving) WithStatement(now time.Time, current, verified bool) leaving {
	n.lastAt = now
	switch {
	case n.stated && !n.restarted:
		n.assumed = n.assumed && !current
	case current:
		return leaving{stated: true, statedAt: now, lastAt: now, unverified: verified}
	case !n.stated:
		n.stated, n.restarted, n.unverified, n.statedAt = true, true, true, now
	}
	return n
}

// WithListing returns n when the view shows another incarnation.
func (n leaving) WithListing(incarnation string) leaving {
	if !n.stated {
		return n
	}
	n.restarted = n.incarnation == "" || n.incarnation != incarnation
	n.unverified = n.restarted
	return n
}

// WithCheck returns n after an incarnation has answered a check that was sent at sentAt. If that answer states that the
// server is leaving, WithStatement has been called before.
func (n leaving) WithCheck(answered, listed string, sentAt time.Time) leaving {
	if !n.stated || !sentAt.After(n.statedAt) {
		return n
	}
	age := sentAt.Sub(n.statedAt)
	switch {
	case !n.restarted && n.unverified:
		n.unverified = false
		if age <= attributionTimeout {
			n.incarnation, n.assumed = answered, answered != listed
		}
	case n.restarted && answered == listed:
		// The listed incarnation does not state it.
		return leaving{}
	case n.assumed && answered == listed && answered == n.incarnation && sentAt.Sub(n.lastAt) > leavingTimeout:
		return leaving{}
	}
	return n
}

// needsCheck reports whether a check is to tell whether the listed incarnation is leaving.
func (n leaving) needsCheck(now time.Time, listed string) bool {
	return n.stated && (n.unverified || n.assumed && n.incarnation == listed && now.Sub(n.lastAt) > leavingTimeout)
}

// Unverified returns the listed servers of which a check is to tell whether their incarnation is leaving.
func (r *Router) Unverified(now time.Time) []masticview.Server {
	var out []masticview.Server
	for _, s := range r.servers {
		if s.listed && s.notice.leaving.needsCheck(now, s.info.Incarnation) {
			out = append(out, s.info)
		}
	}
	return out
}

// ObserveCheck applies that an incarnation of a server has answered a check that was sent at the given time. It reports
// whether the server takes requests again.
func (r *Router) ObserveCheck(name, incarnation string, sentAt time.Time) bool {
	slot, ok := r.slots[name]
	if !ok {
		return false
	}
	s := r.servers[slot]
	before := s.notice
	s.notice.leaving = before.leaving.WithCheck(incarnation, s.info.Incarnation, sentAt)
	return before.leaving.stated && !s.notice.leaving.stated
}
