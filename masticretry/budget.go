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
	perRequest float64
	initial    float64
	// capacity returns the most retries that a key can accumulate.
	capacity  func() float64
	remaining map[string]float64
}

// Option configures a Budget.
type Option func(*Budget)

// WithShare makes the budget this host's share of one that all hosts have in common: a first attempt
// adds perRequest, a key accumulates at most what capacity returns, and it starts empty, since this
// host may have spent its share just before it was restarted. Over any period the hosts then retry
// at most the sum of their capacities plus perRequest for each first attempt.
func WithShare(perRequest float64, capacity func() float64) Option {
	return func(b *Budget) { b.perRequest, b.initial, b.capacity = perRequest, 0, capacity }
}

// NewBudget returns a Budget in which each key has initialBudget retries, unless WithShare is given.
func NewBudget(options ...Option) *Budget {
	b := &Budget{
		perRequest: retriesPerRequest, initial: initialBudget, capacity: func() float64 { return maxBudget },
		remaining: map[string]float64{},
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// RecordFirstAttempt records a first attempt, which adds to the key's budget.
func (b *Budget) RecordFirstAttempt(key string) { b.set(key, b.get(key)+b.perRequest) }

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
		return min(n, b.capacity())
	}
	if len(b.remaining) >= maxKeys {
		return 0
	}
	return b.initial
}

func (b *Budget) set(key string, n float64) {
	if _, ok := b.remaining[key]; !ok && len(b.remaining) >= maxKeys {
		return
	}
	b.remaining[key] = min(n, b.capacity())
}

// Backoff returns when the retry numbered attempt, counted from one, may start, with exponential
// backoff and full jitter. It reports false when that is not before the deadline.
func Backoff(now, deadline time.Time, attempt int, random *rand.Rand) (time.Time, bool) {
	ceiling := firstBackoff << min(max(attempt-1, 0), 10)
	ceiling = min(ceiling, maxBackoff)
	at := now.Add(time.Duration(random.Int64N(int64(ceiling) + 1)))
	return at, at.Before(deadline)
}
