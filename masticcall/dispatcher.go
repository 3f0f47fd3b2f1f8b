package masticcall

import (
	"context"
	"time"

	"masticladder/masticview"
)

// Assignment is a reserved slot on a backend server. The owner of an assignment calls
// FirstToken at most once and Done exactly once.
type Assignment interface {
	Server() masticview.Server
	// Priority returns the priority for the engine; a smaller value is more urgent.
	Priority() int
	// CachedTokens returns the estimated number of prompt tokens in the server's cache.
	CachedTokens() int64
	// CacheSalt returns the salt that isolates the engine's cache between workspaces.
	CacheSalt() string
	// FetchAddress returns the IP:port from which the server should fetch cached parts of the prompt.
	// Save returns that of the store to which it should write them. Either may be empty.
	FetchAddress() string
	SaveAddress() string
	FirstToken(now time.Time)
	Done(now time.Time, r Result)
}

// Result is the outcome of an attempt.
type Result struct {
	// Failure is the error kind, empty on success.
	Failure string
	// ServerEnded reports that the connection broke in a way that suggests that the backend
	// server has terminated.
	ServerEnded bool
	// Paused reports that the backend server turned the request away and stated until when it wants no
	// further ones. That is no failure of the server.
	Paused bool
	// ServerIncarnation is the incarnation that the backend server stated in its answer.
	ServerIncarnation string
	// CachedUnknown reports that the answer did not state how many tokens were cached.
	CachedUnknown bool
	CachedTokens  int64
	OutputTokens  int64
}

// StatementObserver receives what answers state about their backend servers.
type StatementObserver interface {
	// ObserveStatement applies the statement in the answer to a request that was sent at the given time.
	// request is empty for checks and reports.
	ObserveStatement(server masticview.Server, request string, sentAt time.Time, s Statement)
}

// CheckObserver receives the checks that backend servers have answered.
type CheckObserver interface {
	// ObserveCheck applies that an incarnation of a server has answered a check that was sent at the given time. What the
	// answer stated is applied before.
	ObserveCheck(server, incarnation string, sentAt time.Time)
	// Unverified reports whether a check is to tell whether the listed incarnation of a server is leaving.
	Unverified(server string) bool
}

// Dispatcher assigns requests to model engines and plain services.
type Dispatcher interface {
	// Acquire waits in the queue until a backend server is assigned. Error kinds:
	// overloaded, noServer, deadlineExceeded, quarantined, retryBudgetSpent, draining, cancelled.
	// After each of them the request has not run.
	Acquire(ctx context.Context, r Request) (Assignment, error)
	// AcquireService assigns a backend server of a plain service. avoid lists servers on which
	// the call has already failed.
	AcquireService(ctx context.Context, service masticview.Service, avoid []string) (Assignment, error)
}
