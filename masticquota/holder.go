package masticquota

import (
	"slices"
	"time"
)

// requestTimeout is the time after which an unanswered request is sent again.
const requestTimeout = 250 * time.Millisecond

// MaxWaitingRequests limits the requests of one workspace that wait on one host.
const MaxWaitingRequests = 4096

// Verdict is a holder's answer to a request.
type Verdict string

// The verdicts. A Waiting ticket gets another verdict later.
const (
	Admitted Verdict = "admitted"
	Waiting  Verdict = "waiting"
	Refused  Verdict = "refused"
)

// Decision is the verdict on one ticket.
type Decision struct {
	Ticket  uint64
	Verdict Verdict
	// RetryAfter is when to retry after a refusal; zero means that no retry can succeed.
	RetryAfter time.Duration
}

// ticket is one request that waits or was admitted.
type ticket struct {
	id        uint64
	workspace string
	tokens    int64
	waitUntil time.Time
	grants    []grantSpend
}

// grantSpend is the number of tokens of one grant that a ticket spent.
type grantSpend struct {
	grantID, term uint64
	tokens        int64
}

// Holder admits the requests of one daemon incarnation from its grants. It is not safe for
// concurrent use.
type Holder struct {
	host, incarnation string
	pools             map[string]*pool
	// poolNames are the keys of pools, sorted.
	poolNames     []string
	admitted      map[uint64]ticket
	lastTicketID  uint64
	lastRequestID uint64
}

// NewHolder returns a holder without grants.
func NewHolder(host, incarnation string) *Holder {
	return &Holder{host: host, incarnation: incarnation, pools: make(map[string]*pool), admitted: make(map[uint64]ticket)}
}

func (h *Holder) pool(workspace string) *pool {
	p, ok := h.pools[workspace]
	if !ok {
		p = &pool{workspace: workspace}
		h.pools[workspace] = p
		i, _ := slices.BinarySearch(h.poolNames, workspace)
		h.poolNames = slices.Insert(h.poolNames, i, workspace)
	}
	return p
}

// Admit requests tokens of workspace. A waiting ticket is decided by a later Settle, Answer or
// Expire, at the latest by the first Expire after waitUntil. A request that no grant can admit
// by waitUntil is refused immediately.
func (h *Holder) Admit(now time.Time, workspace string, tokens int64, waitUntil time.Time) Decision {
	h.lastTicketID++
	t := ticket{id: h.lastTicketID, workspace: workspace, tokens: max(0, tokens), waitUntil: waitUntil}
	p := h.pool(workspace)
	p.expire(now)
	p.recordDemand(now, t.tokens)
	if len(p.queue) == 0 && h.tryAdmit(p, &t) {
		return Decision{Ticket: t.id, Verdict: Admitted}
	}
	if !now.Before(waitUntil) || len(p.queue) >= MaxWaitingRequests {
		return Decision{Ticket: t.id, Verdict: Refused, RetryAfter: p.retryAfter(now)}
	}
	if p.cannotAdmitInTime(now, t) {
		return Decision{Ticket: t.id, Verdict: Refused, RetryAfter: p.retryAfter(now)}
	}
	p.queue = append(p.queue, t)
	return Decision{Ticket: t.id, Verdict: Waiting}
}

// tryAdmit admits t if the pool's grants hold enough tokens.
func (h *Holder) tryAdmit(p *pool, t *ticket) bool {
	grants, ok := p.spend(t.tokens)
	if !ok {
		return false
	}
	t.grants = grants
	h.admitted[t.id] = *t
	return true
}

// Settle ends an admitted ticket that used the given tokens and returns the decisions that this
// makes possible. Unused tokens can be spent again until the deadline of their grant; after it
// they are reported to the owner.
func (h *Holder) Settle(now time.Time, id uint64, usedTokens int64) []Decision {
	t, ok := h.admitted[id]
	if !ok {
		return nil
	}
	delete(h.admitted, id)
	p := h.pool(t.workspace)
	p.expire(now)
	p.refundUnused(t, max(0, usedTokens))
	return h.decideQueue(now, p)
}

// Abandon removes a waiting ticket, for instance when its caller has disconnected.
func (h *Holder) Abandon(workspace string, id uint64) {
	p := h.pool(workspace)
	p.queue = slices.DeleteFunc(p.queue, func(t ticket) bool { return t.id == id })
}

// Requests returns the grant requests to send to the owner at now.
func (h *Holder) Requests(now time.Time) []GrantRequest {
	var out []GrantRequest
	for _, name := range h.poolNames {
		p := h.pools[name]
		p.expire(now)
		if r, ok := p.request(now); ok {
			out = append(out, h.assignID(now, p, r))
		}
	}
	return out
}

// assignID gives r the next request ID and records it as pending; an answer to an older ID is
// ignored.
func (h *Holder) assignID(now time.Time, p *pool, r GrantRequest) GrantRequest {
	h.lastRequestID++
	r.ID = h.lastRequestID
	r.Host, r.Incarnation, r.Workspace = h.host, h.incarnation, p.workspace
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	p.pendingID, p.lastSentAt = r.ID, now
	p.lastSentNeedTokens = r.NeedTokens
	return r
}

// Answer applies an owner's answer and returns the decisions that follow from it. Only the
// answer to the last request of the workspace is applied; tokens of any other answer count as
// spent.
func (h *Holder) Answer(now time.Time, a GrantAnswer) []Decision {
	p, ok := h.pools[a.Workspace]
	if !ok || a.ID == 0 || p.pendingID != a.ID {
		return nil
	}
	p.expire(now)
	p.applyAnswer(now, a)
	return h.decideQueue(now, p)
}

// Expire removes expired grants and returns the decisions on waiting tickets at now.
func (h *Holder) Expire(now time.Time) []Decision {
	var out []Decision
	for _, name := range h.poolNames {
		p := h.pools[name]
		p.expire(now)
		out = append(out, h.decideQueue(now, p)...)
	}
	return out
}

// decideQueue admits waiting tickets in order and refuses those that no grant can admit in time.
func (h *Holder) decideQueue(now time.Time, p *pool) []Decision {
	var out []Decision
	for len(p.queue) > 0 && h.tryAdmit(p, &p.queue[0]) {
		out = append(out, Decision{Ticket: p.queue[0].id, Verdict: Admitted})
		p.queue = p.queue[1:]
	}
	kept := p.queue[:0]
	for _, t := range p.queue {
		if now.Before(t.waitUntil) && !p.cannotAdmitInTime(now, t) {
			kept = append(kept, t)
			continue
		}
		out = append(out, Decision{Ticket: t.id, Verdict: Refused, RetryAfter: p.retryAfter(now)})
	}
	p.queue = kept
	return out
}

// Drain closes all grants and returns, by workspace, the reports that return their unspent
// tokens to the owner.
func (h *Holder) Drain(now time.Time) map[string][]GrantReport {
	out := make(map[string][]GrantReport)
	for name, p := range h.pools {
		p.expire(now)
		p.closeAll()
		if len(p.reports) > 0 {
			out[name] = p.reports
			p.reports = nil
		}
	}
	return out
}
