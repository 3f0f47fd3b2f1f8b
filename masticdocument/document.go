// Package masticdocument holds the numbered configuration that operators publish whole:
// routes, pools of backend servers, workspaces with the digests of their keys, and limits.
package masticdocument

import (
	"time"

	"masticladder/masticview"
)

// Repeat says what may be repeated of the requests of a route.
type Repeat string

// The kinds of route.
const (
	// RepeatOnce marks requests that run at most once.
	RepeatOnce Repeat = "once"
	// RepeatSafe marks idempotent requests.
	RepeatSafe Repeat = "safe"
	// RepeatStream marks streams; they run once unless they are resumable.
	RepeatStream Repeat = "stream"
)

// Document is one numbered configuration. It is immutable.
type Document struct {
	Number int64
	// Content is the digest of what the operator sent.
	Content masticview.Digest
	Routes  []Route
	Pools   []Pool
	Tenants []Tenant
	Limits  Limits
}

// Route says where the requests of one host name and path prefix go.
type Route struct {
	Name string
	// Host and Prefix select the requests; a prefix begins and ends with a slash.
	Host, Prefix string
	Repeat       Repeat
	// Resumable streams go on at another backend server after an event.
	Resumable bool
	// Timeout is how long a request may be kept waiting, Target when its answer is due.
	Timeout, Target time.Duration
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration
	// Priority ranks the route; 0 is first.
	Priority int64
	// Attempts bounds the backend servers that one request is sent to.
	Attempts int64
	// Open routes need no key.
	Open    bool
	Targets []Target
}

// Idempotent reports whether requests of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Repeat == RepeatSafe || (r.Repeat == RepeatStream && r.Resumable)
}

// Target is a pool with its share of a route's requests.
type Target struct {
	Pool   string
	Weight int64
}

// Pool is a group of backend servers that serve the same requests.
type Pool struct {
	Name string
	// Connections bounds the connections to one server from all hosts together.
	Connections int64
	// Engine reports that the servers run models; Slots and CacheTokens are theirs.
	Engine             bool
	Slots, CacheTokens int64
	Models             []string
	// TransferTokensPerSecond is how fast cached prompts come over an engine's link.
	TransferTokensPerSecond int64
	// Store is the IP:port of a store of cached prompts, which is in Zone; such a pool has no
	// servers.
	Store, Zone string
}

// Tenant is a workspace with its keys and bounds.
type Tenant struct {
	Name     string
	Keys     []masticview.Digest
	Priority int64
	// Isolated workspaces share no cached prompt with any other.
	Isolated bool
	// RateTokensPerSecond and BurstTokens bound all hosts together; zero means no bound.
	RateTokensPerSecond, BurstTokens int64
	// PlainTokens is what a request counts that states no tokens.
	PlainTokens int64
	// CountsRequests makes each request count as one token.
	CountsRequests bool
}

// Limits bound what a caller may send and for how long it may be idle.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}
