package masticquota

import (
	"slices"
	"time"
)

// maxReports bounds the reports that wait to be sent; older ones are dropped, which
// leaves their grants to their deadlines.
const maxReports = 256

// maxSettled bounds the ended grants of which sums of given back tokens are kept. An older
// one that is settled again begins a new sum, which the owner takes for a repetition.
const maxSettled = 1024

// minAskInterval is the least time between two requests for stock, without a waiting ticket.
const minAskInterval = 20 * time.Millisecond

const (
	// neverInterval is for how long an owner's word that a need is over the burst is kept.
	neverInterval = time.Second
	// silentRetryAfter is the time to come back while the owner does not answer.
	silentRetryAfter = time.Second
)

// stockDivisor is the part of a second's demand that is held before it is asked for.
const stockDivisor = 20

// held is a grant at its holder.
type held struct {
	id, term uint64
	tokens   int64
	until    time.Time
	// staleFrom is the middle of the grant's lifetime.
	staleFrom time.Time
}

// pool are the grants and waiting tickets of one workspace.
type pool struct {
	workspace string
	grants    []held
	queue     []ticket
	reports   []GrantReport
	settled   []GrantReport
	// asked is the request that awaits an answer, zero for none.
	asked     uint64
	askedAt   time.Time
	askedNeed int64
	// silentFrom is when the first request without an answer was sent.
	silentFrom time.Time
	// notBefore is the least time at which hintTokens can be granted, as the owner said.
	notBefore  time.Time
	hintTokens int64
	never      bool
	// recent are the tokens asked for since recentFrom, and before that in an equal time.
	recent, former int64
	// last are the tokens of the last request.
	last       int64
	recentFrom time.Time
}

// expire drops the grants that have ended.
func (p *pool) expire(now time.Time) {
	p.grants = slices.DeleteFunc(p.grants, func(g held) bool { return !now.Before(g.until) })
}

// note counts the demand of the present and the former half span.
func (p *pool) note(now time.Time, tokens int64) {
	p.roll(now)
	p.recent += tokens
	p.last = tokens
}

func (p *pool) roll(now time.Time) {
	age := now.Sub(p.recentFrom)
	if age < DefaultSpan/2 {
		return
	}
	p.former = p.recent
	if age >= DefaultSpan {
		p.former = 0
	}
	p.recent = 0
	p.recentFrom = now
}

func (p *pool) stock() int64 {
	var sum int64
	for _, g := range p.grants {
		sum += g.tokens
	}
	return sum
}

// spend takes tokens from the grants, the first to end first, and closes the empty ones.
func (p *pool) spend(tokens int64) ([]taken, bool) {
	if p.stock() < tokens {
		return nil, false
	}
	var out []taken
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
		out = append(out, taken{grantID: p.grants[i].id, term: p.grants[i].term, tokens: n})
	}
	return out, true
}

// giveBack returns what t did not use: to those of its grants that have not ended, else
// to the owner.
func (p *pool) giveBack(t ticket, used int64) {
	for _, k := range t.grants {
		n := min(used, k.tokens)
		used -= n
		if n == k.tokens {
			continue
		}
		i := slices.IndexFunc(p.grants, func(g held) bool { return g.id == k.grantID && g.term == k.term })
		if i >= 0 {
			p.grants[i].tokens += k.tokens - n
		} else {
			p.settle(k, k.tokens-n)
		}
	}
}

// settle adds tokens to what was given back of an ended grant.
func (p *pool) settle(k taken, tokens int64) {
	i := slices.IndexFunc(p.settled, func(r GrantReport) bool { return r.GrantID == k.grantID && r.Term == k.term })
	if i < 0 {
		p.settled = append(p.settled, GrantReport{GrantID: k.grantID, Term: k.term})
		if len(p.settled) > maxSettled {
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

// report notes for the owner that g has ended and what it still holds.
func (p *pool) report(g held) {
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
		p.report(g)
	}
	p.grants = nil
}

// closeSpent closes the grants that hold nothing any more.
func (p *pool) closeSpent() {
	p.grants = slices.DeleteFunc(p.grants, func(g held) bool {
		if g.tokens == 0 {
			p.report(g)
		}
		return g.tokens == 0
	})
}

// request returns the request to send, if there is a reason for one.
func (p *pool) request(now time.Time) (GrantRequest, bool) {
	if p.asked != 0 && now.Sub(p.askedAt) < requestTimeout {
		return GrantRequest{}, false
	}
	p.roll(now)
	p.returnStale(now)
	r := GrantRequest{WantTokens: p.ahead()}
	if len(p.queue) > 0 {
		head := p.queue[0]
		if now.Before(p.notBefore) && p.hintTokens > 0 && head.tokens >= p.hintTokens {
			return GrantRequest{}, false
		}
		r.NeedTokens = max(1, head.tokens-p.stock())
		r.WantTokens += max(r.NeedTokens, p.waiting()-p.stock())
		r.Patience = head.waitUntil.Sub(now)
	} else if !p.wantsStock(now) {
		return GrantRequest{}, false
	}
	p.closeSpent()
	r.Reports = p.reports
	p.reports = nil
	return r, true
}

// wantsStock reports whether grants should be fetched ahead of demand, or reports are due.
func (p *pool) wantsStock(now time.Time) bool {
	if now.Sub(p.askedAt) < minAskInterval || now.Before(p.notBefore) {
		return false
	}
	return len(p.reports) > 0 || p.stock() < p.ahead()/2
}

// ahead returns the tokens to hold before they are asked for, zero where that would not
// be enough for a request.
func (p *pool) ahead() int64 {
	demand := max(p.recent, p.former) / stockDivisor
	if demand < p.last {
		return 0
	}
	return demand
}

// returnStale gives back what is left of grants that are half over, so that it does not
// count as spent at their end.
func (p *pool) returnStale(now time.Time) {
	if len(p.queue) > 0 {
		return
	}
	p.grants = slices.DeleteFunc(p.grants, func(g held) bool {
		if stale := !now.Before(g.staleFrom); !stale {
			return false
		}
		p.report(g)
		return true
	})
}

func (p *pool) waiting() int64 {
	var sum int64
	for _, t := range p.queue {
		sum += t.tokens
	}
	return sum
}

// answer takes the answer to the awaited request. The grant's deadline counts from its sending.
func (p *pool) answer(now time.Time, a GrantAnswer) {
	p.asked = 0
	p.silentFrom = time.Time{}
	p.never = a.Never
	p.hintTokens = p.askedNeed
	p.notBefore = now.Add(a.RetryAfter)
	if a.Never {
		p.notBefore = now.Add(neverInterval)
	}
	if a.Tokens <= 0 {
		return
	}
	p.notBefore = time.Time{}
	until := p.askedAt.Add(a.Span)
	if now.Before(until) {
		p.grants = append(p.grants, held{id: a.GrantID, term: a.Term, tokens: a.Tokens, until: until, staleFrom: until.Add(-a.Span / 2)})
	}
}

// tooLate reports whether no grant can admit t before it stops waiting.
func (p *pool) tooLate(now time.Time, t ticket) bool {
	if t.tokens < p.hintTokens || p.hintTokens == 0 {
		return false
	}
	return now.Before(p.notBefore) && (p.never || p.notBefore.After(t.waitUntil))
}

// retryAfter returns the honest time to come back.
func (p *pool) retryAfter(now time.Time) time.Duration {
	if p.never && now.Before(p.notBefore) {
		return 0
	}
	if !p.silentFrom.IsZero() && now.Sub(p.silentFrom) >= requestTimeout {
		return silentRetryAfter
	}
	return max(minAskInterval, p.notBefore.Sub(now))
}
