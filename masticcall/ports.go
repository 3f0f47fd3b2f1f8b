// Package masticcall holds the interfaces and value types that a call passes through.
package masticcall

import (
	"context"
	"time"

	"masticladder/masticview"
)

// Views gives the view that this host may serve from.
type Views interface {
	// View returns the newest view that this host holds, with or without a lease.
	View() masticview.View
	// Leased reports whether the host's view lease holds at now.
	Leased(now time.Time) bool
}

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

// OrderKey names a call that may not be repeated.
type OrderKey struct {
	Workspace      string
	IdempotencyKey string
}

// StoredAnswer is the bounded copy of an answer to a call that may not be repeated.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// OrderState is what the ledger says to a reservation.
type OrderState string

// The states of an order for the daemon that asks.
const (
	// OrderReserved gives the right to dispatch once.
	OrderReserved OrderState = "reserved"
	// OrderInFlight says that another dispatch is running.
	OrderInFlight OrderState = "inFlight"
	// OrderDone gives the recorded answer.
	OrderDone OrderState = "done"
	// OrderUnknown says that the outcome cannot be known.
	OrderUnknown OrderState = "unknown"
)

// Reservation is the ledger's answer to Reserve.
type Reservation struct {
	State  OrderState
	Answer StoredAnswer
}

// Ledger keeps calls that may not be repeated from running twice, over all hosts.
type Ledger interface {
	// Reserve asks for the right to dispatch. Errors: idempotencyKeyReused,
	// idempotencyKeyTooOld, noQuorum. After any error nothing may be dispatched.
	Reserve(ctx context.Context, k OrderKey, request masticview.Digest, deadline time.Time) (Reservation, error)
	// Record records the outcome; a nil answer means that the outcome is unknown.
	Record(ctx context.Context, k OrderKey, answer *StoredAnswer) error
	// Release ends the reservation; the caller proves that nothing was sent.
	Release(ctx context.Context, k OrderKey) error
}

// Usage takes what one request used.
type Usage interface {
	Add(u UsageRecord)
}

// UsageRecord is what one request used or why it was refused.
type UsageRecord struct {
	Workspace, Profile, Model, ServerOwner string
	InputTokens, OutputTokens              int64
	CachedTokens, RecomputedTokens         int64
	Order                                  bool
	// Refusal is the error kind, empty for a served request.
	Refusal string
}

// Suspects shares the digests of requests that ran when a backend server ended.
type Suspects interface {
	Report(server, serverIncarnation string, digests []masticview.Digest)
}

// Holds keep requests that may end a backend server apart, over all hosts.
type Holds interface {
	// Suspected reports whether the request with digest d may end a backend server.
	Suspected(d masticview.Digest) bool
	// Hold asks for the right to run d on server until deadline. It reports false where
	// another suspect has it. The error has kind noQuorum or outcomeUnknown.
	Hold(ctx context.Context, d masticview.Digest, server string, deadline time.Time) (bool, error)
	// End ends a hold; a request that completed is a suspect no more.
	End(d masticview.Digest, server string, completed bool)
}

// Request is what the dispatcher needs to know of one request.
type Request struct {
	ID        string
	Workspace string
	Weight    int64
	Model     string
	Class     masticview.Class
	// Levels are the prompt's parts, outermost first.
	Levels       []Level
	PromptTokens int64
	OutputTokens int64
	Digest       masticview.Digest
	// FirstTokenBy is the deadline of the first token, Deadline that of the whole answer.
	FirstTokenBy time.Time
	Deadline     time.Time
	// Avoid names backend servers that this request already failed on.
	Avoid []string
	// Attempt counts from zero.
	Attempt int
}

// Level is one part of a nested prompt.
type Level struct {
	Role string
	Text string
}

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
	CachedTokens      int64
	OutputTokens      int64
}

// Dispatcher assigns requests to model engines.
type Dispatcher interface {
	// Acquire waits in the queue until a backend server is assigned. Errors:
	// overloaded, noServer, deadlineExceeded, quarantined, retryBudgetSpent, each not run.
	Acquire(ctx context.Context, r Request) (Assignment, error)
	// AcquireService assigns a backend server of a plain service.
	AcquireService(ctx context.Context, service masticview.Service, avoid []string) (Assignment, error)
}

// Addresses answers which hosts a caller should use.
type Addresses interface {
	// For returns the hosts for a workspace and until when the answer holds.
	For(workspace string, now time.Time) ([]Address, time.Time)
}

// Address is one entry host of an address answer.
type Address struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Weight  int64  `json:"weight"`
}
