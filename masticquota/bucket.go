package masticquota

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// outstanding is a grant that may still be spent.
type outstanding struct {
	id     uint64
	tokens int64
	until  time.Time
}

// bucket is the account of one workspace. Its backlog is regained at the rate.
type bucket struct {
	limit Limit
	// backlog are the tokens spent and not yet regained, as of at.
	backlog int64
	at      time.Time
	// grants are outstanding, the first to end first.
	grants []outstanding
	held   int64
	// settled are the tokens given back so far by grant, of the grants that may still be settled.
	settled map[uint64]int64
	credits credits
	// promise bounds backlog + held while a later owner may rely on it.
	promise  int64
	proposed int64
	// changed is when the promise was last proposed, and blocked whether a need met it.
	changed time.Time
	blocked int64
	waiters []waiter
	hosts   map[string]asker
}

// advance moves the account to now.
func (b *bucket) advance(now time.Time) {
	for len(b.grants) > 0 && !now.Before(b.grants[0].until) {
		g := b.grants[0]
		b.grants = b.grants[1:]
		b.drain(g.until)
		b.held -= g.tokens
		b.charge(g.id, g.tokens)
	}
	b.drain(now)
}

func (b *bucket) charge(grantID uint64, tokens int64) {
	b.credits.note(grantID, tokens, b.backlog)
	b.backlog += tokens
}

// drain regains whole tokens up to now and leaves the rest of the time for later.
func (b *bucket) drain(now time.Time) {
	b.backlog, b.at = drained(b.limit.RateTokensPerSecond, b.backlog, b.at, now)
}

// drained returns what is left of backlog at now, and up to when the time was used.
func drained(rate, backlog int64, at, now time.Time) (int64, time.Time) {
	if !now.After(at) {
		return backlog, at
	}
	regained := tokensIn(rate, now.Sub(at))
	if regained >= backlog {
		return 0, now
	}
	return backlog - regained, at.Add(timeFor(rate, regained))
}

func (b *bucket) used() int64 { return b.backlog + b.held }

// free returns the tokens that can be granted now under the burst.
func (b *bucket) free() int64 { return b.limit.BurstTokens - b.used() }

// promised returns the tokens that can be granted now under the promise to a later owner.
func (b *bucket) promised() int64 { return min(b.promise, b.proposed) - b.used() }

func (b *bucket) grant(id uint64, tokens int64, until time.Time) {
	g := outstanding{id: id, tokens: tokens, until: until}
	i, _ := slices.BinarySearchFunc(b.grants, until, func(o outstanding, t time.Time) int { return o.until.Compare(t) })
	b.grants = slices.Insert(b.grants, i, g)
	b.held += tokens
}

// close ends grant id of which returned tokens were not spent; the rest was spent by now.
func (b *bucket) close(id uint64, returned int64) {
	i := slices.IndexFunc(b.grants, func(o outstanding) bool { return o.id == id })
	if i < 0 {
		return
	}
	g := b.grants[i]
	b.grants = slices.Delete(b.grants, i, i+1)
	b.held -= g.tokens
	b.charge(id, g.tokens-min(max(returned, 0), g.tokens))
}

// settle gives back tokens of grant id, which was charged, that were spent and not used.
func (b *bucket) settle(id uint64, tokens int64) {
	b.backlog -= b.credits.credit(id, tokens, b.backlog)
}

// span is the lifetime of a grant: at most half the time in which the rate fills the burst.
func (b *bucket) span(longest time.Duration) time.Duration {
	return min(longest, timeFor(b.limit.RateTokensPerSecond, b.limit.BurstTokens)/2)
}

// wait returns the least time from now until tokens are free, if nothing else is granted.
func (b *bucket) wait(now time.Time, tokens int64) time.Duration {
	rate := b.limit.RateTokensPerSecond
	missing := tokens - b.free()
	backlog, at := b.backlog, b.at
	for _, g := range b.grants {
		if missing <= backlog {
			break
		}
		left, next := drained(rate, backlog, at, g.until)
		missing -= backlog - left
		backlog, at = left+g.tokens, next
	}
	rest := min(maxRetryAfter, timeFor(rate, missing))
	return min(maxRetryAfter, max(0, at.Sub(now)+rest))
}

// tokensIn returns the whole tokens that rate gives in d.
func tokensIn(rate int64, d time.Duration) int64 {
	if d <= 0 || rate <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	if hi >= uint64(time.Second) {
		return math.MaxInt64
	}
	q, _ := bits.Div64(hi, lo, uint64(time.Second))
	return int64(min(q, math.MaxInt64))
}

// timeFor returns the least time in which rate gives tokens.
func timeFor(rate, tokens int64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if rate <= 0 {
		return math.MaxInt64
	}
	hi, lo := bits.Mul64(uint64(tokens), uint64(time.Second))
	if hi >= uint64(rate) {
		return math.MaxInt64
	}
	q, r := bits.Div64(hi, lo, uint64(rate))
	if r > 0 {
		q++
	}
	return time.Duration(min(q, math.MaxInt64))
}
