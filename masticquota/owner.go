package masticquota

import (
	"math"
	"time"

	"masticladder/masticproto"
)

const (
	// maxRetryAfter limits the RetryAfter of an answer.
	maxRetryAfter = 365 * 24 * time.Hour
	// checkpointRetryAfter is the RetryAfter when a checkpoint has to be committed first.
	checkpointRetryAfter = 20 * time.Millisecond
	// prefetchRetryAfter is the RetryAfter when nothing is free for a request without a need.
	prefetchRetryAfter = 100 * time.Millisecond
)

// Owner grants the tokens of all workspaces during one leader's term. It may grant only while
// no later owner can exist. It is not safe for concurrent use.
type Owner struct {
	term               uint64
	takeover           time.Time
	maxGrantLifetime   time.Duration
	limits             func(workspace string) (Limit, bool)
	committedBounds    map[string]int64
	buckets            map[string]*bucket
	lastGrantID        uint64
	checkpointSequence uint64
	createdWorkspaces  map[string]bool
	pendingCheckpoint  *masticproto.QuotaCheckpoint
	pendingSentAt      time.Time
}

// OwnerOption sets a property of an Owner.
type OwnerOption func(*Owner)

// WithMaxGrantLifetime sets the maximum lifetime of a grant. It must be the same for all owners.
func WithMaxGrantLifetime(d time.Duration) OwnerOption {
	return func(o *Owner) { o.maxGrantLifetime = d }
}

// WithCheckpoint sets the bounds of the last committed checkpoint by workspace. For a workspace
// without one, earlier owners are assumed to have granted the whole burst.
func WithCheckpoint(used map[string]int64) OwnerOption {
	return func(o *Owner) { o.committedBounds = used }
}

// NewOwner returns the owner that took over at now. The function limits returns the
// current limit of a workspace.
func NewOwner(now time.Time, term uint64, limits func(string) (Limit, bool), options ...OwnerOption) *Owner {
	o := &Owner{term: term, takeover: now, maxGrantLifetime: DefaultGrantLifetime, limits: limits, buckets: make(map[string]*bucket), createdWorkspaces: make(map[string]bool)}
	for _, option := range options {
		option(o)
	}
	return o
}

// WorkspaceCreated records that workspace was created in the owner's own term, so that no earlier
// owner can have granted any of its tokens. It must be called before the workspace's first grant.
func (o *Owner) WorkspaceCreated(workspace string) { o.createdWorkspaces[workspace] = true }

// lifetimeWithDrift returns how long after its deduction a grant of the given lifetime can be
// spent, on the owner's clock.
func lifetimeWithDrift(lifetime time.Duration) time.Duration { return lifetime + lifetime/driftDivisor }

// bucket returns the token bucket of workspace, advanced to now; false if there is no such workspace.
func (o *Owner) bucket(now time.Time, workspace string) (*bucket, bool) {
	limit, ok := o.limits(workspace)
	if !ok {
		return nil, false
	}
	b, ok := o.buckets[workspace]
	if !ok {
		b = o.openBucket(workspace, limit)
		o.buckets[workspace] = b
	}
	b.advance(now)
	b.limit = limit
	return b, true
}

// openBucket returns the bucket as of the takeover, with one grant that stands for those of
// earlier owners.
func (o *Owner) openBucket(workspace string, limit Limit) *bucket {
	b := &bucket{limit: limit, backlogAt: o.takeover, committedBound: math.MaxInt64, proposedBound: math.MaxInt64, requesters: make(map[string]requester), settledTokens: make(map[uint64]int64)}
	outstanding := limit.BurstTokens
	if used, ok := o.committedBounds[workspace]; ok {
		b.committedBound = used
		outstanding = used
	} else if o.createdWorkspaces[workspace] {
		outstanding = 0
	}
	b.addGrant(0, outstanding, o.takeover.Add(lifetimeWithDrift(o.maxGrantLifetime)))
	return b
}

// Grant answers r. A need is granted whole or not at all, in the order of the waiting hosts;
// tokens that are free beyond all needs are shared among the requesting hosts.
func (o *Owner) Grant(now time.Time, r GrantRequest) GrantAnswer {
	out := GrantAnswer{ID: r.ID, Term: o.term, Workspace: r.Workspace}
	b, ok := o.bucket(now, r.Workspace)
	if !ok {
		out.NeverGrantable = true
		return out
	}
	for _, p := range r.Reports {
		o.applyReport(b, p)
	}
	if r.NeedTokens > b.limit.BurstTokens {
		out.NeverGrantable = true
		return out
	}
	if !b.recordRequest(now, r) {
		return out
	}
	tokens, wait := o.decide(now, b, r)
	if tokens == 0 {
		out.RetryAfter = wait
		return out
	}
	lifetime := b.grantLifetime(o.maxGrantLifetime)
	o.lastGrantID++
	b.addGrant(o.lastGrantID, tokens, now.Add(lifetimeWithDrift(lifetime)))
	out.GrantID, out.Tokens, out.Lifetime = o.lastGrantID, tokens, lifetime
	return out
}

// decide returns the tokens to grant and, for the case that these are zero, the RetryAfter.
func (o *Owner) decide(now time.Time, b *bucket, r GrantRequest) (int64, time.Duration) {
	need := max(0, r.NeedTokens)
	ahead := b.tokensAhead(now, r.Host)
	if b.freeTokens()-ahead < need {
		wait := b.timeUntilFree(now, ahead+need)
		if wait <= r.MaxWait {
			b.enqueue(r.Host, need, now.Add(wait+waiterGrace))
		} else {
			b.dequeue(r.Host)
		}
		return 0, wait
	}
	if b.freeWithinBound() < need {
		b.blockedNeed = max(b.blockedNeed, need)
		b.enqueue(r.Host, need, now.Add(checkpointRetryAfter+waiterGrace))
		return 0, checkpointRetryAfter
	}
	b.dequeue(r.Host)
	spare := min(b.freeTokens(), b.freeWithinBound()) - b.tokensWaitedForByOthers(r.Host) - need
	share := max(0, spare) / b.activeHosts(now, o.maxGrantLifetime)
	extra := min(max(0, r.WantTokens-need), share)
	return need + extra, prefetchRetryAfter
}

// applyReport applies p. A report about a grant of another owner is ignored.
func (o *Owner) applyReport(b *bucket, p GrantReport) {
	if p.Term != o.term || p.GrantID == 0 || p.GrantID > o.lastGrantID {
		return
	}
	b.closeGrant(p.GrantID, p.ReturnedTokens)
	if more := p.SettledTokens - b.settledTokens[p.GrantID]; more > 0 {
		b.recordSettledTokens(p.GrantID, p.SettledTokens)
		b.creditTokens(p.GrantID, more)
	}
}

// ApplyReports applies reports about grants of workspace that come without a request.
func (o *Owner) ApplyReports(now time.Time, workspace string, reports []GrantReport) {
	b, ok := o.bucket(now, workspace)
	if !ok {
		return
	}
	for _, p := range reports {
		o.applyReport(b, p)
	}
}
