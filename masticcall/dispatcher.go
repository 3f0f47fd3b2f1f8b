package masticcall

import (
	"context"
	"time"

	"masticladder/masticview"
)

// Assignment is a place on a backend server. The holder calls FirstToken at most
// once and Done once.
type Assignment interface {
	Server() masticview.Server
	// Priority is the engine's priority; a smaller one is more urgent.
	Priority() int
	// CachedTokens is the number of prompt tokens believed to be cached.
	CachedTokens() int64
	// CacheSalt separates the engine's cache by workspace.
	CacheSalt() string
	// Fetch is the IP:port from which the server should fetch cached parts of the prompt, and
	// Save that of the store which should get them; either may be empty.
	Fetch() string
	Save() string
	FirstToken(now time.Time)
	Done(now time.Time, r Result)
}

// Result is how an attempt ended.
type Result struct {
	// Failure is empty for success, else the error kind.
	Failure string
	// ServerEnded reports that the connection broke as if the backend server had ended.
	ServerEnded bool
	// ServerIncarnation is the incarnation that the backend server named in its answer.
	ServerIncarnation string
	// CachedUnknown reports that the answer did not tell how many tokens were cached.
	CachedUnknown bool
	CachedTokens  int64
	OutputTokens  int64
}

// Dispatcher assigns requests to model engines.
type Dispatcher interface {
	// Acquire waits in the queue until a backend server is assigned. Errors:
	// overloaded, noServer, deadlineExceeded, quarantined, retryBudgetSpent, each not run.
	Acquire(ctx context.Context, r Request) (Assignment, error)
	// AcquireService assigns a backend server of a plain service.
	AcquireService(ctx context.Context, service masticview.Service, avoid []string) (Assignment, error)
}
