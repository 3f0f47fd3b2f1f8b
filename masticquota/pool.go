package masticquota

import (
	"slices"
	"time"
)

// maxReports limits the reports that wait to be sent. Older ones are dropped. If a dropped report
// closes a grant, the owner charges the whole grant, at its deadline at the latest. If it reports
// SettledTokens, these are credited only with a later such report of the same grant.
const maxReports = 256

// maxSettledGrants limits the ended grants whose SettledTokens are kept. Older ones are dropped.
// If a dropped grant is settled again, its sum restarts at zero. The owner ignores the sum until it
// exceeds the old one, so of the tokens settled again as many as the old sum stay charged.
const maxSettledGrants = 1024

// minPrefetchInterval is the least time between two requests while no ticket waits. It is also
// the lower limit of a refusal's RetryAfter, unless that is zero because the need can never be
// granted.
const minPrefetchInterval = 20 * time.Millisecond

const (
	// neverGrantableTTL is how long an owner's answer that a need exceeds the burst stays valid.
	neverGrantableTTL = time.Second
	// unansweredRetryAfter is the RetryAfter while the owner does not answer.
	unansweredRetryAfter = time.Second
)

// prefetchDivisor sets the tokens to hold ahead of demand: 1/20 of a second's demand.
const prefetchDivisor = 20

// heldGrant is a grant at its holder, with the tokens not yet spent.
type heldGrant struct {
	id, term uint64
	tokens   int64
	deadline time.Time
	// staleFrom is the middle of the grant's lifetime.
	staleFrom time.Time
}

// pool holds the grants and waiting tickets of one workspace on this host. It has nothing to do
// with the pools of backend servers in masticdocument and masticroute.
type pool struct {
	workspace string
	grants    []heldGrant
	queue     []ticket
	reports   []GrantReport
	settled   []GrantReport
	// pendingID is the ID of the request that awaits an answer, zero for none.
	pendingID          uint64
	lastSentAt         time.Time
	lastSentNeedTokens int64
	// unansweredSince is when the first request without an answer was sent.
	unansweredSince time.Time
	// notBefore is the earliest time at which the owner can grant refusedNeedTokens.
	notBefore         time.Time
	refusedNeedTokens int64
	neverGrantable    bool
	// currentDemand is the number of tokens requested since windowStart, previousDemand that of
	// the window before.
	currentDemand, previousDemand int64
	// lastRequestTokens is the size of the last request.
	lastRequestTokens int64
	windowStart       time.Time
}

// expire removes the grants whose deadline has passed.
func (p *pool) expire(now time.Time) {
	p.grants = slices.DeleteFunc(p.grants, func(g heldGrant) bool { return !now.Before(g.deadline) })
}

// recordDemand adds tokens to the demand of the current window of half a grant lifetime.
func (p *pool) recordDemand(now time.Time, tokens int64) {
	p.rollWindow(now)
	p.currentDemand += tokens
	p.lastRequestTokens = tokens
}

func (p *pool) rollWindow(now time.Time) {
	age := now.Sub(p.windowStart)
	if age < DefaultGrantLifetime/2 {
		return
	}
	p.previousDemand = p.currentDemand
	if age >= DefaultGrantLifetime {
		p.previousDemand = 0
	}
	p.currentDemand = 0
	p.windowStart = now
}

func (p *pool) heldTokens() int64 {
	var sum int64
	for _, g := range p.grants {
		sum += g.tokens
	}
	return sum
}

// spend deducts tokens from the grants, oldest first; false if they hold too few.
func (p *pool) spend(tokens int64) ([]grantSpend, bool) {
	if p.heldTokens() < tokens {
		return nil, false
	}
	var out []grantSpend
	for i := range p.grants {
		if tokens == 0 {
			break
		}
		n := min(tokens, p.grants[i].tokens)
		if n == 0 {
			continue
		}
		p.grants[i].tokens -= n
		tokens -= n
		out = append(out, grantSpend{grantID: p.grants[i].id, term: p.grants[i].term, tokens: n})
	}
	return out, true
}

// refundUnused returns the tokens that t did not use: to those of its grants that are still
// held, else to the owner.
func (p *pool) refundUnused(t ticket, used int64) {
	for _, k := range t.grants {
		n := min(used, k.tokens)
		used -= n
		if n == k.tokens {
			continue
		}
		i := slices.IndexFunc(p.grants, func(g heldGrant) bool { return g.id == k.grantID && g.term == k.term })
		if i >= 0 {
			p.grants[i].tokens += k.tokens - n
		} else {
			p.settle(k, k.tokens-n)
		}
	}
}

// settle adds unused tokens to the SettledTokens of a closed or expired grant, and reports the sum.
func (p *pool) settle(k grantSpend, tokens int64) {
	i := slices.IndexFunc(p.settled, func(r GrantReport) bool { return r.GrantID == k.grantID && r.Term == k.term })
	if i < 0 {
		p.settled = append(p.settled, GrantReport{GrantID: k.grantID, Term: k.term})
		if len(p.settled) > maxSettledGrants {
			p.settled = p.settled[1:]
		}
		i = len(p.settled) - 1
	}
	p.settled[i].SettledTokens += tokens
	same := func(r GrantReport) bool {
		return r.GrantID == k.grantID && r.Term == k.term && r.SettledTokens > 0
	}
	p.reports = slices.DeleteFunc(p.reports, same)
	p.addReport(p.settled[i])
}

// reportClosed queues a report that g is closed, with its unspent tokens.
func (p *pool) reportClosed(g heldGrant) {
	p.addReport(GrantReport{GrantID: g.id, Term: g.term, ReturnedTokens: g.tokens})
}

func (p *pool) addReport(r GrantReport) {
	p.reports = append(p.reports, r)
	if len(p.reports) > maxReports {
		p.reports = p.reports[1:]
	}
}

func (p *pool) closeAll() {
	for _, g := range p.grants {
		p.reportClosed(g)
	}
	p.grants = nil
}

// closeSpent closes the grants that have no tokens left.
func (p *pool) closeSpent() {
	p.grants = slices.DeleteFunc(p.grants, func(g heldGrant) bool {
		if g.tokens == 0 {
			p.reportClosed(g)
		}
		return g.tokens == 0
	})
}

// request returns the request to send; false if none is due.
func (p *pool) request(now time.Time) (GrantRequest, bool) {
	if p.pendingID != 0 && now.Sub(p.lastSentAt) < requestTimeout {
		return GrantRequest{}, false
	}
	p.rollWindow(now)
	p.returnStale(now)
	r := GrantRequest{WantTokens: p.prefetchTarget()}
	if len(p.queue) > 0 {
		head := p.queue[0]
		if now.Before(p.notBefore) && p.refusedNeedTokens > 0 && head.tokens >= p.refusedNeedTokens {
			return GrantRequest{}, false
		}
		r.NeedTokens = max(1, head.tokens-p.heldTokens())
		r.WantTokens += max(r.NeedTokens, p.waitingTokens()-p.heldTokens())
		r.MaxWait = head.waitUntil.Sub(now)
	} else if !p.needsPrefetch(now) {
		return GrantRequest{}, false
	}
	p.closeSpent()
	r.Reports = p.reports
	p.reports = nil
	return r, true
}

// needsPrefetch reports whether grants should be fetched ahead of demand or reports are due.
func (p *pool) needsPrefetch(now time.Time) bool {
	if now.Sub(p.lastSentAt) < minPrefetchInterval || now.Before(p.notBefore) {
		return false
	}
	return len(p.reports) > 0 || p.heldTokens() < p.prefetchTarget()/2
}

// prefetchTarget returns the tokens to hold ahead of demand, zero if they would not be enough
// for a request.
func (p *pool) prefetchTarget() int64 {
	demand := max(p.currentDemand, p.previousDemand) / prefetchDivisor
	if demand < p.lastRequestTokens {
		return 0
	}
	return demand
}

// returnStale closes grants past the middle of their lifetime, so that their unspent tokens are
// not charged at their deadline. It does nothing while a ticket waits.
func (p *pool) returnStale(now time.Time) {
	if len(p.queue) > 0 {
		return
	}
	p.grants = slices.DeleteFunc(p.grants, func(g heldGrant) bool {
		if stale := !now.Before(g.staleFrom); !stale {
			return false
		}
		p.reportClosed(g)
		return true
	})
}

func (p *pool) waitingTokens() int64 {
	var sum int64
	for _, t := range p.queue {
		sum += t.tokens
	}
	return sum
}

// applyAnswer applies the answer to the pending request. The grant's lifetime counts from when
// the request was sent.
func (p *pool) applyAnswer(now time.Time, a GrantAnswer) {
	p.pendingID = 0
	p.unansweredSince = time.Time{}
	p.neverGrantable = a.NeverGrantable
	p.refusedNeedTokens = p.lastSentNeedTokens
	p.notBefore = now.Add(a.RetryAfter)
	if a.NeverGrantable {
		p.notBefore = now.Add(neverGrantableTTL)
	}
	if a.Tokens <= 0 {
		return
	}
	p.notBefore = time.Time{}
	deadline := p.lastSentAt.Add(a.Lifetime)
	if now.Before(deadline) {
		p.grants = append(p.grants, heldGrant{id: a.GrantID, term: a.Term, tokens: a.Tokens, deadline: deadline, staleFrom: deadline.Add(-a.Lifetime / 2)})
	}
}

// cannotAdmitInTime reports whether, by the owner's last answer, no grant can admit t before
// its waitUntil.
func (p *pool) cannotAdmitInTime(now time.Time, t ticket) bool {
	if t.tokens < p.refusedNeedTokens || p.refusedNeedTokens == 0 {
		return false
	}
	return now.Before(p.notBefore) && (p.neverGrantable || p.notBefore.After(t.waitUntil))
}

// retryAfter returns the RetryAfter of a refusal, zero if no retry can succeed.
func (p *pool) retryAfter(now time.Time) time.Duration {
	if p.neverGrantable && now.Before(p.notBefore) {
		return 0
	}
	if !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= requestTimeout {
		return unansweredRetryAfter
	}
	return max(minPrefetchInterval, p.notBefore.Sub(now))
}
