package masticbucket

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

const (
	// chargeTimeout is the time after which another keeper is asked if one gives no answer, which normally takes
	// a few milliseconds. The late answer still counts.
	chargeTimeout = 80 * time.Millisecond
	// maxUnanswered is the number of keepers that a request asks without an answer. More would add to the load of
	// keepers that are short of processor time.
	maxUnanswered = 2
	// minTokenWait is the least time for which a request may wait for tokens.
	minTokenWait = time.Millisecond
	// unansweredRetryAfter is the mean Retry-After if too few keepers answer. It varies by half.
	unansweredRetryAfter = time.Second
	// aheadTime is the time for which tokens are charged ahead for a busy workspace. It is below maxCreditLifetime,
	// after which they go back.
	aheadTime = 150 * time.Millisecond
)

// Limiter admits requests by charges at keepers. It implements masticcall.DividedLimiter.
type Limiter struct {
	host    string
	keeper  *Keeper
	keepers masticcall.Keepers
	log     logrus.FieldLogger

	division atomic.Pointer[Division]
	memory   *memory
	// throttles refuse requests of workspaces over their rate without a question.
	throttles *throttles
	// shuffle reorders n items at random, as rand.Shuffle does.
	shuffle        func(n int, swap func(i, j int))
	creditAccounts *creditAccounts
}

// NewLimiter returns the limiter of the named host, which is a keeper itself where the division says so.
func NewLimiter(host string, k *Keeper, others masticcall.Keepers, log logrus.FieldLogger) *Limiter {
	return &Limiter{host: host, keeper: k, keepers: others, log: log, memory: newMemory(), throttles: newThrottles(), creditAccounts: newCreditAccounts(), shuffle: rand.Shuffle}
}

// SetView finds the keepers under a new view.
func (l *Limiter) SetView(v masticview.View) {
	d, former := NewDivision(v.Hosts()), l.division.Load()
	if d == nil && former == nil || d != nil && former != nil && slices.Equal(d.keepers, former.keepers) {
		return
	}
	now := time.Now()
	l.division.Store(d)
	l.keeper.SetDivision(now, d)
	l.memory.clear()
	names := []string{}
	if d != nil {
		for _, h := range d.keepers {
			names = append(names, h.Name)
		}
	}
	l.log.WithField("revision", v.Revision()).WithField("keepers", names).Info("keepers of quotas changed")
}

// Divided implements masticcall.DividedLimiter.
func (l *Limiter) Divided() bool { return l.division.Load() != nil }

// Admit takes the request's tokens from this host's credits or charges them at keepers. A request that is larger
// than the bucket of one is charged in equal pieces at several. It waits for tokens that are there before ctx ends
// and before tokensBy: if a workspace stays over its rate, each request would wait that long.
// The error wraps masticcall.ErrUnanswered if too few keepers answered to say whether the workspace is over its rate.
func (l *Limiter) Admit(ctx context.Context, workspace string, tokens int64, tokensBy time.Time) (masticcall.Admission, error) {
	keepers := l.division.Load().Keepers(workspace)
	if len(keepers) == 0 {
		return nil, errFewKeepers(workspace)
	}
	limit, lifetime := l.keeper.quota(workspace)
	least := piecesOf(tokens, limit, len(keepers))
	if least == 0 {
		return nil, masticerror.New(masticerror.KindRateLimited, "the request is larger than the burst of workspace %q", workspace)
	}
	now := time.Now()
	until, bounded := ctx.Deadline()
	if !bounded {
		until = now
	}
	if !tokensBy.IsZero() && tokensBy.Before(until) {
		until = later(tokensBy, now.Add(minTokenWait))
	}
	a := &attempt{limiter: l, workspace: workspace, lifetime: lifetime, until: until, throttle: throttleKeyOf(workspace, tokens)}
	if c, ok := l.creditAccounts.takeForRequest(now, until, workspace, tokens); ok {
		a.charged = c
		return a.admission(ctx, tokens)
	}
	short := l.memory.allShort(now, keepers, workspace)
	if short && l.throttles.refusesNow(now, a.throttle) {
		return nil, a.overRate(l.memory.earliest(now, keepers, workspace))
	}
	part := limit.divided(len(keepers))
	if pieces := len(keepers); float64(2*tokens) > part.BurstTokens && pieces > least && !l.memory.anySilent(now, keepers) {
		// A large request leaves a keeper's bucket empty for long and another's full, unless it takes from all.
		a.divide(tokens, pieces)
		a.chargeAll(ctx, keepers)
	}
	if a.missing > 0 || len(a.charged) == 0 {
		a.refund()
		a.divide(tokens, least)
		if least == 1 {
			a.extra = l.extraTokens(now, workspace, tokens, part)
		}
		if err := a.run(ctx, keepers, bounded, short && bounded); err != nil {
			return nil, err
		}
	}
	return a.admission(ctx, tokens)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// extraTokens returns how many tokens are charged ahead with a request, zero if the workspace has few requests here.
func (l *Limiter) extraTokens(now time.Time, workspace string, tokens int64, part Limit) int64 {
	extra := int64(min(l.creditAccounts.demand(now, workspace)*aheadTime.Seconds(), part.BurstTokens/maxExtraDivisor))
	if extra < 2*tokens {
		return 0
	}
	return extra
}

// maxExtraDivisor divides the burst of a keeper's part; the result is the most that is charged ahead at once.
const maxExtraDivisor = 16

// piecesOf returns at how many of n keepers a request is charged, zero if all their buckets together never hold it.
func piecesOf(tokens int64, limit Limit, n int) int {
	for pieces := 1; pieces <= n; pieces++ {
		if float64((tokens+int64(pieces)-1)/int64(pieces)) <= limit.divided(n).BurstTokens {
			return pieces
		}
	}
	return 0
}

func (l *Limiter) refund(h Host, workspace string, tokens int64) {
	if h.Name == l.host {
		l.keeper.Refund(workspace, tokens)
		return
	}
	l.keepers.Refund(h.Peer, workspace, tokens)
}

func errFewKeepers(workspace string) error {
	e := masticerror.Wrap(masticcall.ErrUnanswered, masticerror.KindRateLimited, "too few keepers of the quota of workspace %q answered", workspace)
	return e.WithRetryAfter(unansweredRetryAfter/2 + rand.N(unansweredRetryAfter))
}
