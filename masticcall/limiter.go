package masticcall

import (
	"context"
)

// Limiter enforces the token rate and burst of each workspace.
type Limiter interface {
	// Admit takes tokens from the workspace's quota. It waits for a quota grant as long as
	// one can still arrive before ctx ends. The error has kind rateLimited and a retry delay.
	Admit(ctx context.Context, workspace string, tokens int64) (Admission, error)
}

// Admission is an amount of quota taken for one request.
type Admission interface {
	// Settle returns unused tokens to the quota. It is called once.
	Settle(usedTokens int64)
}
