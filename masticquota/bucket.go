package masticquota

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// outstandingGrant is a grant that its holder may still spend.
type outstandingGrant struct {
	id       uint64
	tokens   int64
	deadline time.Time
}

// bucket is the token bucket of one workspace. Its backlog drains at the workspace's rate.
type bucket struct {
	limit Limit
	// backlog is the number of tokens charged and not yet regained, as of backlogAt.
	backlog   int64
	backlogAt time.Time
	// grants are the outstanding grants, ordered by deadline.
	grants            []outstandingGrant
	outstandingTokens int64
	// settledTokens maps a grant to the unused tokens settled so far, for grants that may still be settled.
	settledTokens map[uint64]int64
	credits       credits
	// committedBound is the limit of backlog + outstandingTokens in the last committed checkpoint.
	// Grants stay within it, because a new owner assumes that at most this much was used.
	committedBound int64
	proposedBound  int64
	// proposedAt is when a bound was last proposed; blockedNeed is the largest need that the bound
	// has blocked since.
	proposedAt  time.Time
	blockedNeed int64
	waiters     []waiter
	requesters  map[string]requester
}

// advance ends grants whose deadline has passed and drains the backlog up to now.
func (b *bucket) advance(now time.Time) {
	for len(b.grants) > 0 && !now.Before(b.grants[0].deadline) {
		g := b.grants[0]
		b.grants = b.grants[1:]
		b.drainBacklog(g.deadline)
		b.outstandingTokens -= g.tokens
		b.chargeTokens(g.id, g.tokens)
	}
	b.drainBacklog(now)
}

func (b *bucket) chargeTokens(grantID uint64, tokens int64) {
	b.credits.recordCharge(grantID, tokens, b.backlog)
	b.backlog += tokens
}

// drainBacklog regains whole tokens up to now. Time too short for another whole token is carried over.
func (b *bucket) drainBacklog(now time.Time) {
	b.backlog, b.backlogAt = remainingBacklog(b.limit.rate(), b.backlog, b.backlogAt, now)
}

// remainingBacklog returns what is left of backlog at now, and the time up to which it was drained.
func remainingBacklog(rate milliRate, backlog int64, at, now time.Time) (int64, time.Time) {
	if !now.After(at) {
		return backlog, at
	}
	regained := tokensIn(rate, now.Sub(at))
	if regained >= backlog {
		return 0, now
	}
	return backlog - regained, at.Add(timeFor(rate, regained))
}

func (b *bucket) usedTokens() int64 { return b.backlog + b.outstandingTokens }

// freeTokens returns the tokens that can be granted now within the burst.
func (b *bucket) freeTokens() int64 { return b.limit.BurstTokens - b.usedTokens() }

// freeWithinBound returns the tokens that can be granted now within the committed and proposed bounds.
func (b *bucket) freeWithinBound() int64 {
	return min(b.committedBound, b.proposedBound) - b.usedTokens()
}

func (b *bucket) addGrant(id uint64, tokens int64, deadline time.Time) {
	g := outstandingGrant{id: id, tokens: tokens, deadline: deadline}
	i, _ := slices.BinarySearchFunc(b.grants, deadline, func(o outstandingGrant, t time.Time) int { return o.deadline.Compare(t) })
	b.grants = slices.Insert(b.grants, i, g)
	b.outstandingTokens += tokens
}

// closeGrant ends grant id before its deadline: returned tokens were not spent, the rest is charged.
func (b *bucket) closeGrant(id uint64, returned int64) {
	i := slices.IndexFunc(b.grants, func(o outstandingGrant) bool { return o.id == id })
	if i < 0 {
		return
	}
	g := b.grants[i]
	b.grants = slices.Delete(b.grants, i, i+1)
	b.outstandingTokens -= g.tokens
	b.chargeTokens(id, g.tokens-min(max(returned, 0), g.tokens))
}

// creditTokens lowers the backlog for settled tokens of a charged grant.
func (b *bucket) creditTokens(id uint64, tokens int64) {
	b.backlog -= b.credits.credit(id, tokens, b.backlog)
}

// grantLifetime returns the lifetime of a grant: at most half the time in which the rate fills the burst.
func (b *bucket) grantLifetime(maxLifetime time.Duration) time.Duration {
	return min(maxLifetime, timeFor(b.limit.rate(), b.limit.BurstTokens)/2)
}

// timeUntilFree returns the least time from now until tokens are free, if nothing else is granted;
// at most maxRetryAfter.
func (b *bucket) timeUntilFree(now time.Time, tokens int64) time.Duration {
	rate := b.limit.rate()
	missing := tokens - b.freeTokens()
	backlog, at := b.backlog, b.backlogAt
	for _, g := range b.grants {
		if missing <= backlog {
			break
		}
		left, next := remainingBacklog(rate, backlog, at, g.deadline)
		missing -= backlog - left
		backlog, at = left+g.tokens, next
	}
	rest := min(maxRetryAfter, timeFor(rate, missing))
	if uint64(rate) > 0 && milliTokenSecond%uint64(rate) != 0 {
		rest = min(maxRetryAfter, rest+drainRounding)
	}
	return min(maxRetryAfter, max(0, at.Sub(now)+rest))
}

// drainRounding bounds by how much the backlog drains late, if a token takes no whole number of nanoseconds: each call of
// remainingBacklog rounds up to the next one.
const drainRounding = time.Microsecond

// milliTokens is the number of thousandths in a token, milliTokenSecond that of thousandths of a token per second and
// nanoseconds in which one token is regained.
const (
	milliTokens      = 1000
	milliTokenSecond = milliTokens * uint64(time.Second)
)

// tokensIn returns the whole tokens regained in d.
func tokensIn(rate milliRate, d time.Duration) int64 {
	if d <= 0 || rate <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	if hi >= milliTokenSecond {
		return math.MaxInt64
	}
	q, _ := bits.Div64(hi, lo, milliTokenSecond)
	return int64(min(q, math.MaxInt64))
}

// timeFor returns the least time in which tokens are regained.
func timeFor(rate milliRate, tokens int64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if rate <= 0 {
		return math.MaxInt64
	}
	hi, lo := bits.Mul64(uint64(tokens), milliTokenSecond)
	if hi >= uint64(rate) {
		return math.MaxInt64
	}
	q, r := bits.Div64(hi, lo, uint64(rate))
	if r > 0 {
		q++
	}
	return time.Duration(min(q, math.MaxInt64))
}
