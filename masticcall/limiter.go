package masticcall

import (
	"context"
)

// Limiter admits requests within the rate and burst of their workspaces.
type Limiter interface {
	// Admit takes tokens from the workspace's quota, waiting for a grant while one
	// can still come before ctx ends. The error has kind rateLimited and a time to come back.
	Admit(ctx context.Context, workspace string, tokens int64) (Admission, error)
}

// Admission is a quota that was taken.
type Admission interface {
	// Settle gives back what was not used. It is called once.
	Settle(usedTokens int64)
}
