package masticlease

import "time"

// maxPending bounds the renewals that a holder awaits an answer to.
const maxPending = 8

// pending is a renewal that was sent and has no answer.
type pending struct {
	id   uint64
	sent time.Time
}

// Holder is the daemon's side of a lease. It is used by one goroutine.
type Holder struct {
	host, incarnation string
	last              uint64
	pending           []pending
	term              uint64
	until             time.Time
	revision          uint64
}

// NewHolder returns the holder of a daemon incarnation, without a lease.
func NewHolder(host, incarnation string) *Holder {
	return &Holder{host: host, incarnation: incarnation}
}

// Installed notes the revision that the host serves from now on. A lower one is ignored.
func (h *Holder) Installed(revision uint64) { h.revision = max(h.revision, revision) }

// Renewal returns the renewal to send at now. The lease counts from now.
func (h *Holder) Renewal(now time.Time) Renewal {
	h.last++
	h.pending = append(h.pending, pending{id: h.last, sent: now})
	if len(h.pending) > maxPending {
		h.pending = h.pending[1:]
	}
	return Renewal{ID: h.last, Host: h.host, Incarnation: h.incarnation, Acknowledged: h.revision}
}

// Granted takes an answer and reports whether it was taken. An answer to no awaited
// renewal, a repeated one and one of an older term are ignored.
func (h *Holder) Granted(g Grant) bool {
	sent, ok := h.take(g.ID)
	if !ok || g.Term < h.term {
		return false
	}
	h.term = g.Term
	if until := sent.Add(g.Span); g.Span > 0 && until.After(h.until) {
		h.until = until
	}
	return true
}

// take removes and returns when renewal id and, with it, the older ones were sent.
func (h *Holder) take(id uint64) (time.Time, bool) {
	for i, p := range h.pending {
		if p.id == id {
			h.pending = h.pending[i+1:]
			return p.sent, true
		}
	}
	return time.Time{}, false
}

// Held reports whether the lease holds at now.
func (h *Holder) Held(now time.Time) bool { return now.Before(h.until) }

// Until returns when the lease ends.
func (h *Holder) Until() time.Time { return h.until }

// Term returns the highest term that answered.
func (h *Holder) Term() uint64 { return h.term }
