package masticschedule

import (
	"time"

	"masticladder/masticroute"
)

// holdState is that of a request which waits at this host until an engine has read its prefix.
type holdState struct {
	held bool
	// since is when the request was first held, zero if it never was.
	since time.Time
	// readings is the number of finished readings that the router knew when it held the request.
	readings uint64
	// checkAt is when the request is evaluated again if no further reading finishes.
	checkAt time.Time
}

// set records a decision.
func (h *holdState) set(now time.Time, d *masticroute.Decision, readings uint64) {
	h.held, h.readings, h.checkAt = d.Hold, readings, now.Add(pollInterval)
	if h.held && h.since.IsZero() {
		h.since = now
	}
}

// duration returns for how long the request has been held, zero if it never was.
func (h *holdState) duration(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return now.Sub(h.since)
}

// unchanged reports whether the request is still held: the queue is scanned at each report of another host,
// some hundred times a second, and an evaluation of a long prompt takes some 30 microseconds.
func (h *holdState) unchanged(now time.Time, readings uint64) bool {
	return h.held && readings == h.readings && now.Before(h.checkAt)
}
