package masticbucket

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// credit is a number of tokens that a keeper has taken from its bucket for this host.
type credit struct {
	keeper Host
	tokens int64
	// usableAt is when the tokens are there, expiresAt when they go back to the keeper.
	usableAt, expiresAt time.Time
}

// newCredit returns the credit of a charge that was sent at sentAt and whose answer was handled at now. On a host without processor
// time that may be long after the keeper took the tokens, so that the lifetime begins chargeTimeout after the question at the
// latest.
func newCredit(keeper Host, tokens int64, sentAt, now time.Time, lifetime, delay time.Duration) credit {
	begin := now
	if last := sentAt.Add(chargeTimeout); now.After(last) {
		begin = last
	}
	return credit{keeper: keeper, tokens: tokens, usableAt: now.Add(delay), expiresAt: begin.Add(lifetime + delay)}
}

// creditAccount holds the credits of one workspace that no request has used yet: tokens charged ahead, and answers that
// came after their requests had given up.
type creditAccount struct {
	credits []credit
	// demand estimates the tokens that requests use per second on this host, as of demandAt.
	demand   float64
	demandAt time.Time
	// changed is closed and replaced when a credit is added.
	changed chan struct{}
}

// demandWindow is the time over which the demand of a workspace is estimated.
const demandWindow = 500 * time.Millisecond

// addDemand records that a request needs tokens.
func (p *creditAccount) addDemand(now time.Time, tokens int64) {
	p.demand = p.demandNow(now) + float64(tokens)/demandWindow.Seconds()
	p.demandAt = now
}

func (p *creditAccount) demandNow(now time.Time) float64 {
	passed := now.Sub(p.demandAt)
	return p.demand * max(0, 1-float64(passed)/float64(demandWindow))
}

// take removes tokens that are there before the given time, those that expire first before the others. It reports
// false, and takes nothing, if there are not enough.
func (p *creditAccount) take(now, before time.Time, tokens int64) ([]credit, bool) {
	var taken, left []credit
	missing := tokens
	for _, c := range p.credits {
		if missing == 0 || !now.Before(c.expiresAt) || c.usableAt.After(before) {
			left = append(left, c)
			continue
		}
		used, rest := c, c
		used.tokens = min(c.tokens, missing)
		rest.tokens -= used.tokens
		missing -= used.tokens
		taken = append(taken, used)
		if rest.tokens > 0 {
			left = append(left, rest)
		}
	}
	if missing > 0 {
		return nil, false
	}
	p.credits = left
	return taken, true
}

// add adds a credit.
func (p *creditAccount) add(c credit) {
	i, _ := slices.BinarySearchFunc(p.credits, c, func(a, b credit) int { return a.expiresAt.Compare(b.expiresAt) })
	p.credits = slices.Insert(p.credits, i, c)
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// expire removes and returns the expired credits.
func (p *creditAccount) expire(now time.Time) []credit {
	n := 0
	for n < len(p.credits) && !now.Before(p.credits[n].expiresAt) {
		n++
	}
	expired := slices.Clone(p.credits[:n])
	p.credits = slices.Delete(p.credits, 0, n)
	return expired
}

// creditAccounts are the accounts of all workspaces of a host.
type creditAccounts struct {
	mutex sync.Mutex
	by    map[string]*creditAccount
}

// maxCreditAccounts bounds the workspaces whose demand is remembered.
const maxCreditAccounts = 1 << 14

func newCreditAccounts() *creditAccounts { return &creditAccounts{by: map[string]*creditAccount{}} }

// of returns the account of a workspace. The caller holds the mutex.
func (p *creditAccounts) of(workspace string) *creditAccount {
	x, ok := p.by[workspace]
	if !ok {
		if len(p.by) >= maxCreditAccounts {
			maps.DeleteFunc(p.by, func(_ string, x *creditAccount) bool { return len(x.credits) == 0 && x.changed == nil })
		}
		x = &creditAccount{}
		p.by[workspace] = x
	}
	return x
}

// takeForRequest records a new request and takes its tokens, if they are there before the given time.
func (p *creditAccounts) takeForRequest(now, before time.Time, workspace string, tokens int64) ([]credit, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	x := p.of(workspace)
	x.addDemand(now, tokens)
	return x.take(now, before, tokens)
}

// takeOrWait takes tokens, or returns a channel that is closed when there are more.
func (p *creditAccounts) takeOrWait(now, before time.Time, workspace string, tokens int64) ([]credit, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	x := p.of(workspace)
	if taken, ok := x.take(now, before, tokens); ok {
		return taken, nil
	}
	if x.changed == nil {
		x.changed = make(chan struct{})
	}
	return nil, x.changed
}

func (p *creditAccounts) add(workspace string, c credit) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.of(workspace).add(c)
}

func (p *creditAccounts) demand(now time.Time, workspace string) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.of(workspace).demandNow(now)
}

func (p *creditAccounts) expire(now time.Time, workspace string) []credit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.of(workspace).expire(now)
}
