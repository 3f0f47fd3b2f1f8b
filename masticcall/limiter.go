package masticcall

import (
	"context"
	"time"
)

// Limiter enforces the token rate and burst of each workspace.
type Limiter interface {
	// Admit takes tokens from the workspace's quota. It waits for a quota grant as long as
	// one can still arrive before ctx ends. Where the quota is kept by several hosts, it does not wait
	// for tokens that the rate yields only after tokensBy, unless that is zero. An error of kind rateLimited
	// has a retry delay; the kinds overloaded and draining mean that the limiter's inbox is full or closed.
	Admit(ctx context.Context, workspace string, tokens int64, tokensBy time.Time) (Admission, error)
}

// Admission is an amount of quota taken for one request.
type Admission interface {
	// Settle returns unused tokens to the quota. It is called exactly once, after the request: the
	// limiter keeps an entry for each admission until then.
	Settle(usedTokens int64)
}
