// Package masticdocument defines the numbered configuration document that operators
// publish as a whole: routes, pools of backend servers, workspaces with the digests of
// their API keys, and limits.
package masticdocument

import (
	"time"

	"masticladder/masticview"
)

// RetryPolicy defines whether requests of a route may run more than once.
type RetryPolicy string

const (
	// RetryNever is for requests that run at most once.
	RetryNever RetryPolicy = "once"
	// RetryIdempotent is for idempotent requests.
	RetryIdempotent RetryPolicy = "safe"
	// RetryStream is for streams; they run at most once unless they are resumable.
	RetryStream RetryPolicy = "stream"
)

// Document is one numbered configuration document. It is immutable.
type Document struct {
	Number int64
	// ContentDigest is the digest of the document as the operator sent it.
	ContentDigest masticview.Digest
	Routes        []Route
	Pools         []Pool
	Workspaces    []Workspace
	Limits        Limits
}

// Route defines where the requests for a host name and path prefix are sent.
type Route struct {
	Name string
	// Hostname and Prefix select the requests. Hostname is a DNS name, compared without regard to
	// case; Prefix begins and ends with a slash.
	Hostname, Prefix string
	Repeat           RetryPolicy
	// Resumable streams can be continued on another backend server after any event.
	Resumable bool
	// Timeout bounds how long a request may wait; TargetLatency is the time within which its answer
	// is due.
	Timeout, TargetLatency time.Duration
	// MaxEventGap is the longest pause between two events of a stream that is on time.
	MaxEventGap time.Duration
	// Priority ranks the route; 0 is first.
	Priority int64
	// Attempts bounds the number of backend servers that one request is sent to.
	Attempts int64
	// Public routes require no API key.
	Public  bool
	Targets []Target
}

// Idempotent reports whether requests of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Repeat == RetryIdempotent || (r.Repeat == RetryStream && r.Resumable)
}

// Target is a pool with its share of the requests of a route.
type Target struct {
	Pool   string
	Weight int64
}

// Pool is a group of backend servers that serve the same requests, as operators configure it. A
// pool in masticroute is the engines of one model and weights version; a pool in masticquota holds
// quota grants.
type Pool struct {
	Name string
	// Connections bounds the connections to one server from all hosts together.
	Connections int64
	// Engine reports whether the servers run models; Slots and CacheTokens are their
	// capacities.
	Engine             bool
	Slots, CacheTokens int64
	Models             []string
	// TransferTokensPerSecond is the rate at which an engine or a store transfers cached prompts over
	// its network link.
	TransferTokensPerSecond int64
	// Store is the IP:port of a store of cached prompts, and Zone its zone. Such a pool has no
	// servers.
	Store, Zone string
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// MaxInFlight is the number of calls for cache events that a server holds at once, zero if it has no
	// such calls.
	MaxInFlight int64
}

// Workspace is a workspace with its API keys and bounds.
type Workspace struct {
	Name     string
	Keys     []masticview.Digest
	Priority int64
	// Isolated workspaces share no cached prompts with other workspaces.
	Isolated bool
	// RateTokensPerSecond, with RateMilliTokensPerSecond (0 to 999) added, and BurstTokens bound the workspace over all
	// hosts; a rate of zero means no bound.
	RateTokensPerSecond, RateMilliTokensPerSecond, BurstTokens int64
	// DefaultTokens is what a request is charged if it states no number of tokens.
	DefaultTokens int64
	// CountsRequests charges each request one token.
	CountsRequests bool
}

// Limited reports whether the workspace has a rate.
func (w Workspace) Limited() bool { return w.RateTokensPerSecond > 0 || w.RateMilliTokensPerSecond > 0 }

// Rate returns the rate in tokens per second.
func (w Workspace) Rate() float64 {
	return float64(w.RateTokensPerSecond) + float64(w.RateMilliTokensPerSecond)/1000
}

// Limits bound the size of a caller's requests and how long the caller may be idle.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}
