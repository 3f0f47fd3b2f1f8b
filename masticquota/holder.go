package masticquota

import (
	"slices"
	"time"
)

// requestTimeout is after how long an unanswered request is sent again.
const requestTimeout = 250 * time.Millisecond

// MaxWaiting bounds the requests of one workspace that wait on one host.
const MaxWaiting = 4096

// Verdict is what a holder says to a request.
type Verdict string

// The verdicts.
const (
	Admitted Verdict = "admitted"
	Waiting  Verdict = "waiting"
	Refused  Verdict = "refused"
)

// Decision is the verdict on one ticket.
type Decision struct {
	Ticket  uint64
	Verdict Verdict
	// RetryAfter is the time to come back of a refusal; zero means that no retry helps.
	RetryAfter time.Duration
}

// ticket is one request that waits or was admitted.
type ticket struct {
	id        uint64
	workspace string
	tokens    int64
	waitUntil time.Time
	grants    []taken
}

// taken are the tokens that a ticket took from a grant.
type taken struct {
	grantID, term uint64
	tokens        int64
}

// Holder admits the requests of one daemon incarnation. It is used by one goroutine.
type Holder struct {
	host, incarnation string
	pools             map[string]*pool
	// names are those of the pools, in their order.
	names       []string
	admitted    map[uint64]ticket
	lastTicket  uint64
	lastRequest uint64
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
		i, _ := slices.BinarySearch(h.names, workspace)
		h.names = slices.Insert(h.names, i, workspace)
	}
	return p
}

// Admit asks for tokens of workspace. A waiting ticket is decided by Answer or Expire at the
// latest at waitUntil. A request that no grant can admit by then is refused at once.
func (h *Holder) Admit(now time.Time, workspace string, tokens int64, waitUntil time.Time) Decision {
	h.lastTicket++
	t := ticket{id: h.lastTicket, workspace: workspace, tokens: max(0, tokens), waitUntil: waitUntil}
	p := h.pool(workspace)
	p.expire(now)
	p.note(now, t.tokens)
	if len(p.queue) == 0 && h.take(p, &t) {
		return Decision{Ticket: t.id, Verdict: Admitted}
	}
	if !now.Before(waitUntil) || len(p.queue) >= MaxWaiting {
		return Decision{Ticket: t.id, Verdict: Refused, RetryAfter: p.retryAfter(now)}
	}
	if p.tooLate(now, t) {
		return Decision{Ticket: t.id, Verdict: Refused, RetryAfter: p.retryAfter(now)}
	}
	p.queue = append(p.queue, t)
	return Decision{Ticket: t.id, Verdict: Waiting}
}

// take admits t from the pool's grants.
func (h *Holder) take(p *pool, t *ticket) bool {
	grants, ok := p.spend(t.tokens)
	if !ok {
		return false
	}
	t.grants = grants
	h.admitted[t.id] = *t
	return true
}

// Settle ends an admitted ticket that used the given tokens. What it did not use can be
// spent again until the deadline of its grant, and is given back to the owner after it.
func (h *Holder) Settle(now time.Time, id uint64, usedTokens int64) []Decision {
	t, ok := h.admitted[id]
	if !ok {
		return nil
	}
	delete(h.admitted, id)
	p := h.pool(t.workspace)
	p.expire(now)
	p.giveBack(t, max(0, usedTokens))
	return h.serve(now, p)
}

// Abandon ends a waiting ticket, for instance of a caller that went away.
func (h *Holder) Abandon(workspace string, id uint64) {
	p := h.pool(workspace)
	p.queue = slices.DeleteFunc(p.queue, func(t ticket) bool { return t.id == id })
}

// Requests returns what to send to the owner at now.
func (h *Holder) Requests(now time.Time) []GrantRequest {
	var out []GrantRequest
	for _, name := range h.names {
		p := h.pools[name]
		p.expire(now)
		if r, ok := p.request(now); ok {
			out = append(out, h.number(now, p, r))
		}
	}
	return out
}

// number gives r its number; an answer to an older one is ignored.
func (h *Holder) number(now time.Time, p *pool, r GrantRequest) GrantRequest {
	h.lastRequest++
	r.ID = h.lastRequest
	r.Host, r.Incarnation, r.Workspace = h.host, h.incarnation, p.workspace
	if p.silentFrom.IsZero() {
		p.silentFrom = now
	}
	p.asked, p.askedAt = r.ID, now
	p.askedNeed = r.NeedTokens
	return r
}

// Answer takes an owner's answer and returns the tickets that it decides. An answer to
// anything but the last request of the workspace is ignored: its tokens count as spent.
func (h *Holder) Answer(now time.Time, a GrantAnswer) []Decision {
	p, ok := h.pools[a.Workspace]
	if !ok || a.ID == 0 || p.asked != a.ID {
		return nil
	}
	p.expire(now)
	p.answer(now, a)
	return h.serve(now, p)
}

// Expire returns the waiting tickets that are refused at now.
func (h *Holder) Expire(now time.Time) []Decision {
	var out []Decision
	for _, name := range h.names {
		p := h.pools[name]
		p.expire(now)
		out = append(out, h.serve(now, p)...)
	}
	return out
}

// serve admits waiting tickets in their order and refuses those that no grant can admit in time.
func (h *Holder) serve(now time.Time, p *pool) []Decision {
	var out []Decision
	for len(p.queue) > 0 && h.take(p, &p.queue[0]) {
		out = append(out, Decision{Ticket: p.queue[0].id, Verdict: Admitted})
		p.queue = p.queue[1:]
	}
	kept := p.queue[:0]
	for _, t := range p.queue {
		if now.Before(t.waitUntil) && !p.tooLate(now, t) {
			kept = append(kept, t)
			continue
		}
		out = append(out, Decision{Ticket: t.id, Verdict: Refused, RetryAfter: p.retryAfter(now)})
	}
	p.queue = kept
	return out
}

// Drain returns the reports that hand back all that is not spent. Nothing can be admitted
// from these grants afterwards.
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
