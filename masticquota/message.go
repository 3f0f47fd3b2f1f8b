// Package masticquota keeps every workspace within its rate and burst over all hosts.
//
// One Owner deducts grants from the bucket of a workspace and Holders on the entry hosts
// spend them. A grant can be spent at any moment until its deadline, so the owner charges
// it as if it were spent at the latest one: outstanding tokens begin to be regained, at the
// workspace's rate, only when their deadline has passed or their holder has reported them
// spent. A grant of n tokens is made only while backlog + outstanding + n <= burst. For
// any window [a, b] the tokens that can be admitted in it are those of grants deducted by
// b whose deadline is not before a, and the rule bounds them by burst + rate * (b - a). The
// whole burst stays grantable to one request. The lifetime of a grant is at most half the
// time in which the rate fills the burst, so that outstanding grants do not take the rate away.
//
// A request is charged for its prompt and its reserved output. What it did not use is given
// back: to its grant while that lasts at the holder, and else to the owner, which lowers the
// backlog by what it would be lower without those tokens.
//
// A new owner knows nothing of the grants of earlier ones. It begins with one outstanding
// grant that stands for all of them: the bound of the last QuotaCheckpoint, else the whole
// burst, until one longest lifetime after its takeover.
package masticquota

import "time"

// DefaultSpan is the longest lifetime of a grant.
const DefaultSpan = 2 * time.Second

// driftDivisor bounds the difference of two clocks' rates to 1/64.
const driftDivisor = 64

// Limit is the rate and burst of a workspace.
type Limit struct {
	RateTokensPerSecond int64
	BurstTokens         int64
}

// GrantReport says that a holder will spend no more of a grant.
type GrantReport struct {
	GrantID uint64
	Term    uint64
	// ReturnedTokens were not spent.
	ReturnedTokens int64
	// SettledTokens is the sum of the tokens that were spent and turned out not to be used.
	// It only grows, so that a lost or repeated report does no harm.
	SettledTokens int64
}

// GrantRequest asks an owner for tokens of one workspace.
type GrantRequest struct {
	// ID numbers the requests of one daemon incarnation.
	ID                uint64
	Host, Incarnation string
	Workspace         string
	// NeedTokens is the least useful grant, zero for none; WantTokens is the most.
	NeedTokens, WantTokens int64
	// Patience is for how long a waiting request can still use NeedTokens.
	Patience time.Duration
	Reports  []GrantReport
}

// GrantAnswer answers a GrantRequest.
type GrantAnswer struct {
	ID        uint64
	Term      uint64
	Workspace string
	GrantID   uint64
	// Tokens is zero where nothing was granted.
	Tokens int64
	// Span is the grant's lifetime from the moment that the request was sent.
	Span time.Duration
	// RetryAfter is the least time until NeedTokens can be granted, where they were not.
	RetryAfter time.Duration
	// Never reports that NeedTokens are over the burst or that there is no such workspace.
	Never bool
}
