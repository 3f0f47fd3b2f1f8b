package masticagent

import (
	"sync"
	"sync/atomic"
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
)

// Admissions counts admitted requests by source, and refused requests. It is safe for concurrent
// use.
type Admissions struct {
	// Granted were admitted from the owner's grants, Standing from the standing share in addition
	// to them, Shared from the outage share while the owner was unreachable, Kept by keepers of quotas.
	Granted, Standing, Shared, Kept, Refused atomic.Int64
}

// Share is the part of a workspace's rate and burst that one host may use on its own.
type Share struct {
	RateTokensPerSecond, BurstTokens float64
}

// smallRequestTokens is the size up to which a request is first tried at the standing share.
// With 57 hosts, a host gets a request of a given workspace only about once a second. Without the
// standing share each request would therefore cause a grant request to the owner. Seven in eight
// requests were of 400 tokens; together they were a tenth of the tokens.
const smallRequestTokens = 1024

// shares admits requests without the quota owner, from this host's share of what all hosts
// together may admit without it.
type shares struct {
	share func(workspace string) Share
	// admitted counts what these shares admit.
	admitted *atomic.Int64

	mutex   sync.Mutex
	buckets map[string]*shareBucket
}

// initialBurstFraction is the fraction of a share's burst that is available on first use. It is
// below 1 because earlier grants may still be spent, and above 0 so that requests are admitted
// right after an outage starts. With an empty start, 78 requests within their rates were refused in
// the second after a leader froze.
const initialBurstFraction = 0.5

// shareBucket is the token bucket of one workspace.
type shareBucket struct {
	tokens float64
	at     time.Time
}

func newShares(share func(workspace string) Share, admitted *atomic.Int64) *shares {
	return &shares{share: share, admitted: admitted, buckets: map[string]*shareBucket{}}
}

// admit takes tokens from the share of workspace.
func (s *shares) admit(now time.Time, workspace string, tokens int64) (masticcall.Admission, error) {
	share := s.share(workspace)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, ok := s.buckets[workspace]
	if !ok {
		b = &shareBucket{at: now, tokens: initialBurstFraction * share.BurstTokens}
		s.buckets[workspace] = b
	}
	b.tokens = min(share.BurstTokens, b.tokens+share.RateTokensPerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < float64(tokens) {
		return nil, s.refusal(workspace, share, float64(tokens), float64(tokens)-b.tokens)
	}
	b.tokens -= float64(tokens)
	s.admitted.Add(1)
	return &shareAdmission{shares: s, workspace: workspace, tokens: tokens}, nil
}

// ownerRetryAfter is the Retry-After of a request that no share of this host ever holds: the owner may answer again.
const ownerRetryAfter = time.Second

func (s *shares) refusal(workspace string, share Share, tokens, missing float64) error {
	if tokens > share.BurstTokens {
		e := masticerror.New(masticerror.KindRateLimited, "the request is larger than this host's share of the rate of workspace %q", workspace)
		return e.WithRetryAfter(ownerRetryAfter)
	}
	e := masticerror.New(masticerror.KindRateLimited, "workspace %q is over this host's share of its rate", workspace)
	if share.RateTokensPerSecond <= 0 {
		return e
	}
	return e.WithRetryAfter(time.Duration(missing / share.RateTokensPerSecond * float64(time.Second)))
}

// shareAdmission is a request that was admitted from a share.
type shareAdmission struct {
	shares    *shares
	workspace string
	tokens    int64
}

// Settle returns unused tokens to the share.
func (a *shareAdmission) Settle(usedTokens int64) {
	a.shares.mutex.Lock()
	defer a.shares.mutex.Unlock()
	if b, ok := a.shares.buckets[a.workspace]; ok {
		b.tokens += float64(a.tokens - usedTokens)
	}
}
