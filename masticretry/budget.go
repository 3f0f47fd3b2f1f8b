// Package masticretry bounds retries: a budget for each workspace, jitter between
// attempts, and nothing after the caller's deadline.
package masticretry

import (
	"math/rand/v2"
	"time"
)

const (
	// retriesPerRequest is what a first attempt adds to its workspace's budget.
	retriesPerRequest = 0.1
	// maxBudget is the most retries that a workspace can save up.
	maxBudget = 20
	// startBudget lets a workspace retry before it has sent much.
	startBudget = 5
	// maxWorkspaces bounds the workspaces that are remembered.
	maxWorkspaces = 4096
	// firstBackoff is the longest wait before the first retry.
	firstBackoff = 50 * time.Millisecond
	// maxBackoff is the longest wait before any retry.
	maxBackoff = time.Second
)

// Budget counts retries by workspace. It is not safe for concurrent use.
type Budget struct {
	left map[string]float64
}

// NewBudget returns an empty Budget.
func NewBudget() *Budget { return &Budget{left: map[string]float64{}} }

// First records a first attempt, which earns a part of a retry.
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
	if n, ok := b.left[workspace]; ok {
		return n
	}
	if len(b.left) >= maxWorkspaces {
		return 0
	}
	return startBudget
}

func (b *Budget) set(workspace string, n float64) {
	if _, ok := b.left[workspace]; !ok && len(b.left) >= maxWorkspaces {
		return
	}
	b.left[workspace] = n
}

// Backoff returns when attempt number attempt, counted from one, may start, with
// full jitter. It reports false when that is not before the deadline.
func Backoff(now, deadline time.Time, attempt int, source *rand.Rand) (time.Time, bool) {
	ceiling := firstBackoff << min(max(attempt-1, 0), 10)
	ceiling = min(ceiling, maxBackoff)
	at := now.Add(time.Duration(source.Int64N(int64(ceiling) + 1)))
	return at, at.Before(deadline)
}
