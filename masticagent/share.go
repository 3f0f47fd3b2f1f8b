package masticagent

import (
	"sync"
	"sync/atomic"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
)

// Admissions count by what admitted requests, and those that nothing did. They are safe for
// concurrent use.
type Admissions struct {
	// Granted were admitted from the owner's grants, Standing from the standing share beside
	// them, Shared from the share of a host out of the owner's reach.
	Granted, Standing, Shared, Refused atomic.Int64
}

// Share is the part of a workspace's rate and burst that one host may use on its own.
type Share struct {
	RateTokensPerSecond, BurstTokens float64
}

// smallTokens is the size up to which a request is admitted from the standing share first.
// With 57 hosts a host sees a workspace about once a second, so each request was a demand at
// the owner; seven in eight of them were of 400 tokens, and a tenth of the tokens.
const smallTokens = 1024

// shares admit requests without the owner of the quota, from this host's share of what all
// hosts together may admit without it.
type shares struct {
	limit func(workspace string) Share
	// admitted counts what these shares admit.
	admitted *atomic.Int64

	mutex   sync.Mutex
	buckets map[string]*shareBucket
}

// startPart is the part of a share's burst that is there when it is used first. What the host
// had been granted before is spent on top of it, so it is less than the whole. An empty start
// refused 78 requests within their rates in the second after a leader froze.
const startPart = 0.5

// shareBucket is the account of one workspace.
type shareBucket struct {
	tokens float64
	at     time.Time
}

func newShares(limit func(workspace string) Share, admitted *atomic.Int64) *shares {
	return &shares{limit: limit, admitted: admitted, buckets: map[string]*shareBucket{}}
}

// admit takes tokens from the share of workspace.
func (s *shares) admit(now time.Time, workspace string, tokens int64) (masticcall.Admission, error) {
	limit := s.limit(workspace)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, ok := s.buckets[workspace]
	if !ok {
		b = &shareBucket{at: now, tokens: startPart * limit.BurstTokens}
		s.buckets[workspace] = b
	}
	b.tokens = min(limit.BurstTokens, b.tokens+limit.RateTokensPerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < float64(tokens) {
		return nil, s.refusal(workspace, limit, float64(tokens)-b.tokens)
	}
	b.tokens -= float64(tokens)
	s.admitted.Add(1)
	return &shareAdmission{shares: s, workspace: workspace, tokens: tokens}, nil
}

func (s *shares) refusal(workspace string, limit Share, missing float64) error {
	e := masticerror.New(masticerror.KindRateLimited, "workspace %q is over this host's share of its rate", workspace)
	if limit.RateTokensPerSecond <= 0 {
		return e
	}
	return e.WithRetryAfter(time.Duration(missing / limit.RateTokensPerSecond * float64(time.Second)))
}

// shareAdmission is a request that was admitted from a share.
type shareAdmission struct {
	shares    *shares
	workspace string
	tokens    int64
}

// Settle gives back what was not used.
func (a *shareAdmission) Settle(usedTokens int64) {
	a.shares.mutex.Lock()
	defer a.shares.mutex.Unlock()
	if b, ok := a.shares.buckets[a.workspace]; ok {
		b.tokens += float64(a.tokens - usedTokens)
	}
}
