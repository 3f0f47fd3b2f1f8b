package masticbucket

import "time"

// Limit is a rate in tokens per second and a burst in tokens.
type Limit struct{ RateTokensPerSecond, BurstTokens float64 }

// divided returns one of n equal parts.
func (l Limit) divided(n int) Limit {
	return Limit{RateTokensPerSecond: l.RateTokensPerSecond / float64(n), BurstTokens: l.BurstTokens / float64(n)}
}

// bucket is a token bucket. Its level is negative while tokens are charged ahead of time.
type bucket struct {
	level float64
	at    time.Time
}

// fill regains tokens up to now.
func (b *bucket) fill(now time.Time, l Limit) {
	if now.After(b.at) {
		b.level += l.RateTokensPerSecond * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, l.BurstTokens)
}

// charge takes tokens if they are there within wait. It returns the time until they are there, and whether
// they were taken. Tokens beyond the burst are never there.
func (b *bucket) charge(now time.Time, l Limit, tokens float64, wait time.Duration) (time.Duration, bool) {
	b.fill(now, l)
	if tokens > l.BurstTokens || l.RateTokensPerSecond <= 0 && tokens > b.level {
		return maxDelay, false
	}
	delay := time.Duration(0)
	if missing := tokens - b.level; missing > 0 {
		delay = min(maxDelay, time.Duration(missing/l.RateTokensPerSecond*float64(time.Second))+1)
	}
	if delay > wait {
		return delay, false
	}
	b.level -= tokens
	return delay, true
}

// maxDelay bounds the time that a refusal states.
const maxDelay = time.Hour
