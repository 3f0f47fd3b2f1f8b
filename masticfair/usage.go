package masticfair

import (
	"math"
	"time"
)

// usageHalfLife is the half-life with which recorded usage decays.
const usageHalfLife = 10 * time.Second

// Usage tracks the tokens recently served to each workspace. It is not safe for concurrent use.
type Usage struct {
	workspaces map[string]*workspaceUsage
}

// workspaceUsage is the exponentially decayed number of tokens served to one workspace,
// as of updatedAt.
type workspaceUsage struct {
	weight    float64
	tokens    float64
	updatedAt time.Time
}

// NewUsage returns an empty Usage.
func NewUsage() *Usage { return &Usage{workspaces: map[string]*workspaceUsage{}} }

func (w *workspaceUsage) tokensAt(now time.Time) float64 {
	return w.tokens * math.Exp2(-float64(max(0, now.Sub(w.updatedAt)))/float64(usageHalfLife))
}

// Add records that a workspace of the given weight was served a number of tokens.
func (u *Usage) Add(now time.Time, workspace string, weight, tokens int64) {
	w, ok := u.workspaces[workspace]
	if !ok {
		u.prune(now)
		w = &workspaceUsage{}
		u.workspaces[workspace] = w
	}
	w.tokens = w.tokensAt(now) + float64(tokens)
	w.updatedAt = now
	w.weight = float64(max(1, weight))
}

// prune removes the workspaces whose usage has decayed below one token.
func (u *Usage) prune(now time.Time) {
	for name, w := range u.workspaces {
		if w.tokensAt(now) < 1 {
			delete(u.workspaces, name)
		}
	}
}

// ShareRatio returns the recent usage of a workspace relative to its fair share by weight:
// 1 is exactly its share. It returns 0 for a workspace without usage.
func (u *Usage) ShareRatio(now time.Time, workspace string) float64 {
	usage, ok := u.workspaces[workspace]
	if !ok {
		return 0
	}
	var tokens, weight float64
	for _, w := range u.workspaces {
		tokens += w.tokensAt(now)
		weight += w.weight
	}
	if tokens == 0 {
		return 0
	}
	return usage.tokensAt(now) / tokens * weight / usage.weight
}
