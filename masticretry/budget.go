// Package masticretry limits retries: a retry budget per key, exponential backoff with
// full jitter, and no attempt after the caller's deadline.
package masticretry

import (
	"math/rand/v2"
	"time"
)

const (
	// retriesPerRequest is how much a first attempt adds to the budget of its key.
	retriesPerRequest = 0.1
	// maxBudget is the most retries that a key can accumulate.
	maxBudget = 20
	// initialBudget allows retries before many requests were sent.
	initialBudget = 5
	// maxKeys bounds the number of keys with a budget; others get no retries.
	maxKeys = 4096
	// firstBackoff is the longest delay before the first retry.
	firstBackoff = 50 * time.Millisecond
	// maxBackoff is the longest delay before any retry.
	maxBackoff = time.Second
)

// Budget holds the remaining retries by key: masticschedule uses the workspace as the key,
// masticrelay the pool. It is not safe for concurrent use.
type Budget struct {
	remaining map[string]float64
}

// NewBudget returns a Budget in which each key has initialBudget retries.
func NewBudget() *Budget { return &Budget{remaining: map[string]float64{}} }

// RecordFirstAttempt records a first attempt, which adds retriesPerRequest to the key's budget.
func (b *Budget) RecordFirstAttempt(key string) {
	b.set(key, min(maxBudget, b.get(key)+retriesPerRequest))
}

// TakeRetry takes one retry from the key's budget and reports whether there was one.
func (b *Budget) TakeRetry(key string) bool {
	n := b.get(key)
	if n < 1 {
		return false
	}
	b.set(key, n-1)
	return true
}

// Left returns the number of retries that the key has left.
func (b *Budget) Left(key string) int { return int(b.get(key)) }

func (b *Budget) get(key string) float64 {
	if n, ok := b.remaining[key]; ok {
		return n
	}
	if len(b.remaining) >= maxKeys {
		return 0
	}
	return initialBudget
}

func (b *Budget) set(key string, n float64) {
	if _, ok := b.remaining[key]; !ok && len(b.remaining) >= maxKeys {
		return
	}
	b.remaining[key] = n
}

// Backoff returns when the retry numbered attempt, counted from one, may start, with exponential
// backoff and full jitter. It reports false when that is not before the deadline.
func Backoff(now, deadline time.Time, attempt int, random *rand.Rand) (time.Time, bool) {
	ceiling := firstBackoff << min(max(attempt-1, 0), 10)
	ceiling = min(ceiling, maxBackoff)
	at := now.Add(time.Duration(random.Int64N(int64(ceiling) + 1)))
	return at, at.Before(deadline)
}
