// Package masticquota limits every workspace to its rate and burst across all hosts.
//
// One Owner deducts grants from the token bucket of a workspace, and Holders on the entry hosts
// spend them. A grant can be spent at any moment until its deadline, so the owner charges it as
// if it were spent at the deadline: outstanding tokens begin to be regained, at the workspace's
// rate, only when their deadline has passed or their holder has reported them spent. A grant of
// n tokens is made only while backlog + outstanding + n <= burst.
//
// This rule ensures that at most burst + rate * (t2 - t1) tokens are admitted between any two
// instants t1 and t2, because only grants that were deducted by t2 and whose deadline is not before
// t1 can be spent in between, and the rule limits the sum of these. The whole burst can still be
// granted to one request. The lifetime of a grant is at most half the time in which the rate fills
// the burst, so that outstanding grants do not use up the rate.
//
// A request spends tokens for its prompt and its reserved output. Tokens that it did not use go
// back to its grant while the holder still has it, else they are settled with the owner. Of the
// tokens of a grant,
//   - charged ones were added to the backlog, when the grant was closed or its deadline passed;
//   - returned ones were never spent, or went back to the grant, and are not charged at its closing;
//   - settled ones were spent and not used, and are reported after the grant has ended;
//   - credited ones are settled ones whose charge the owner reversed: it lowers the backlog to what
//     it would be without them.
//
// A new owner does not know the grants of earlier owners. It starts with one outstanding grant
// that stands for all of them: the bound of the last QuotaCheckpoint, else the whole burst,
// until one maximum lifetime after its takeover.
package masticquota

import (
	"math"
	"time"
)

// DefaultGrantLifetime is the default maximum lifetime of a grant.
const DefaultGrantLifetime = 2 * time.Second

// driftDivisor is the assumed limit of clock drift: the rates of two clocks differ by at most 1/64.
const driftDivisor = 64

// Limit is the rate and burst of a workspace.
type Limit struct {
	RateTokensPerSecond int64
	// RateMilliTokensPerSecond, 0 to 999, is added to RateTokensPerSecond.
	RateMilliTokensPerSecond int64
	BurstTokens              int64
}

// milliRate is a rate in thousandths of a token per second.
type milliRate int64

// rate returns the whole rate, or the largest that a milliRate holds.
func (l Limit) rate() milliRate {
	if l.RateTokensPerSecond >= math.MaxInt64/milliTokens {
		return math.MaxInt64
	}
	return milliRate(l.RateTokensPerSecond)*milliTokens + milliRate(l.RateMilliTokensPerSecond)
}

// WithReducedRate returns a copy whose rate is lower by a number of tokens per second, but not
// below zero.
func (l Limit) WithReducedRate(tokensPerSecond float64) Limit {
	if tokensPerSecond <= 0 {
		return l
	}
	rate := l.rate()
	if reduction := math.Ceil(tokensPerSecond * milliTokens); reduction < float64(rate) {
		rate -= milliRate(reduction)
	} else {
		rate = 0
	}
	l.RateTokensPerSecond, l.RateMilliTokensPerSecond = int64(rate/milliTokens), int64(rate%milliTokens)
	return l
}

// TokensPerSecond returns the whole rate, or the largest that fits into thousandths.
func (l Limit) TokensPerSecond() float64 { return float64(l.rate()) / milliTokens }

// GrantReport tells the owner that a holder will spend no more of a grant.
type GrantReport struct {
	GrantID uint64
	Term    uint64
	// ReturnedTokens is the number of tokens that were not spent.
	ReturnedTokens int64
	// SettledTokens is the running sum of the tokens that were spent and then not used.
	// It never decreases, so that a lost or repeated report has no effect.
	SettledTokens int64
}

// GrantRequest requests tokens of one workspace from an owner.
type GrantRequest struct {
	// ID numbers the requests of one daemon incarnation.
	ID                uint64
	Host, Incarnation string
	Workspace         string
	// NeedTokens is the smallest useful grant, zero for none; WantTokens is the largest.
	NeedTokens, WantTokens int64
	// MaxWait is the time for which a waiting request can still use NeedTokens.
	MaxWait time.Duration
	Reports []GrantReport
}

// GrantAnswer answers a GrantRequest.
type GrantAnswer struct {
	ID        uint64
	Term      uint64
	Workspace string
	GrantID   uint64
	// Tokens is zero if nothing was granted.
	Tokens int64
	// Lifetime is the grant's lifetime, counted from when the request was sent.
	Lifetime time.Duration
	// RetryAfter is the least time until NeedTokens can be granted, if they were not.
	RetryAfter time.Duration
	// NeverGrantable reports that NeedTokens exceeds the burst or that the workspace does not exist.
	NeverGrantable bool
}
