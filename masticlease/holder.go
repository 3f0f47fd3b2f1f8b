package masticlease

import "time"

// maxPendingRenewals limits the unanswered renewals that a holder remembers.
const maxPendingRenewals = 8

// pendingRenewal is a renewal that was sent and not answered yet.
type pendingRenewal struct {
	id     uint64
	sentAt time.Time
}

// Holder is the host's side of a lease. It is not safe for concurrent use.
type Holder struct {
	host, incarnation string
	lastID            uint64
	pending           []pendingRenewal
	term              uint64
	expiresAt         time.Time
	revision          uint64
}

// NewHolder returns the holder of a daemon incarnation, without a lease.
func NewHolder(host, incarnation string) *Holder {
	return &Holder{host: host, incarnation: incarnation}
}

// SetRevision sets the revision that the host serves from now on. A lower one is ignored.
func (h *Holder) SetRevision(revision uint64) { h.revision = max(h.revision, revision) }

// Renewal returns the renewal to send at now. The lifetime of the lease counts from now.
func (h *Holder) Renewal(now time.Time) Renewal {
	h.lastID++
	h.pending = append(h.pending, pendingRenewal{id: h.lastID, sentAt: now})
	if len(h.pending) > maxPendingRenewals {
		h.pending = h.pending[1:]
	}
	return Renewal{ID: h.lastID, Host: h.host, Incarnation: h.incarnation, Acknowledged: h.revision}
}

// ApplyGrant applies an answer and reports whether it was valid. An answer to no pending
// renewal, a repeated answer and one of an older term are ignored.
func (h *Holder) ApplyGrant(g Grant) bool {
	sentAt, ok := h.takePending(g.ID)
	if !ok || g.Term < h.term {
		return false
	}
	h.term = g.Term
	if expiresAt := sentAt.Add(g.Lifetime); g.Lifetime > 0 && expiresAt.After(h.expiresAt) {
		h.expiresAt = expiresAt
	}
	return true
}

// takePending returns when renewal id was sent, and removes it and all older ones.
func (h *Holder) takePending(id uint64) (time.Time, bool) {
	for i, p := range h.pending {
		if p.id == id {
			h.pending = h.pending[i+1:]
			return p.sentAt, true
		}
	}
	return time.Time{}, false
}

// Held reports whether the lease is held at now.
func (h *Holder) Held(now time.Time) bool { return now.Before(h.expiresAt) }

// ExpiresAt returns when the lease expires.
func (h *Holder) ExpiresAt() time.Time { return h.expiresAt }

// Term returns the highest term of an applied answer.
func (h *Holder) Term() uint64 { return h.term }
