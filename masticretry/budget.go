// Package masticretry limits retries: a retry budget per workspace, exponential backoff with
// full jitter, and no attempt after the caller's deadline.
package masticretry

import (
	"math/rand/v2"
	"time"
)

const (
	// retriesPerRequest is how much a first attempt adds to the budget of its workspace.
	retriesPerRequest = 0.1
	// maxBudget is the most retries that a workspace can accumulate.
	maxBudget = 20
	// initialBudget lets a workspace retry before it has sent many requests.
	initialBudget = 5
	// maxWorkspaces bounds the number of workspaces with a budget; others get no retries.
	maxWorkspaces = 4096
	// firstBackoff is the longest delay before the first retry.
	firstBackoff = 50 * time.Millisecond
	// maxBackoff is the longest delay before any retry.
	maxBackoff = time.Second
)

// Budget holds the remaining retries by workspace. It is not safe for concurrent use.
type Budget struct {
	remaining map[string]float64
}

// NewBudget returns a Budget in which each workspace has initialBudget retries.
func NewBudget() *Budget { return &Budget{remaining: map[string]float64{}} }

// First records a first attempt, which adds retriesPerRequest to the workspace's budget.
func (b *Budget) First(workspace string) {
	b.set(workspace, min(maxBudget, b.get(workspace)+retriesPerRequest))
}

// Retry takes one retry from the workspace's budget and reports whether there was one.
func (b *Budget) Retry(workspace string) bool {
	n := b.get(workspace)
	if n < 1 {
		return false
	}
	b.set(workspace, n-1)
	return true
}

func (b *Budget) get(workspace string) float64 {
	if n, ok := b.remaining[workspace]; ok {
		return n
	}
	if len(b.remaining) >= maxWorkspaces {
		return 0
	}
	return initialBudget
}

func (b *Budget) set(workspace string, n float64) {
	if _, ok := b.remaining[workspace]; !ok && len(b.remaining) >= maxWorkspaces {
		return
	}
	b.remaining[workspace] = n
}

// Backoff returns when the retry numbered attempt, counted from one, may start, with exponential
// backoff and full jitter. It reports false when that is not before the deadline.
func Backoff(now, deadline time.Time, attempt int, random *rand.Rand) (time.Time, bool) {
	ceiling := firstBackoff << min(max(attempt-1, 0), 10)
	ceiling = min(ceiling, maxBackoff)
	at := now.Add(time.Duration(random.Int64N(int64(ceiling) + 1)))
	return at, at.Before(deadline)
}
