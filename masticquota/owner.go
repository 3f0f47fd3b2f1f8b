package masticquota

import (
	"math"
	"time"

	"masticladder/masticproto"
)

const (
	// maxRetryAfter bounds a time to come back.
	maxRetryAfter = 365 * 24 * time.Hour
	// promiseDelay is the time to come back when a checkpoint has to be committed first.
	promiseDelay = 20 * time.Millisecond
	// stockRetryAfter is the time to come back when nothing is free for a request without a need.
	stockRetryAfter = 100 * time.Millisecond
)

// Owner grants the tokens of all workspaces for one leader's term. It may grant only while
// no later owner can exist. It is used by one goroutine.
type Owner struct {
	term     uint64
	takeover time.Time
	longest  time.Duration
	limits   func(workspace string) (Limit, bool)
	bounds   map[string]int64
	buckets  map[string]*bucket
	lastID   uint64
	sequence uint64
	created  map[string]bool
	pending  *masticproto.QuotaCheckpoint
	sent     time.Time
}

// OwnerOption sets a property of an Owner.
type OwnerOption func(*Owner)

// WithSpan sets the longest lifetime of a grant. All owners need the same.
func WithSpan(d time.Duration) OwnerOption { return func(o *Owner) { o.longest = d } }

// WithCheckpoint gives the bounds of the last committed checkpoint by workspace. A workspace
// without one is taken to have granted its whole burst.
func WithCheckpoint(used map[string]int64) OwnerOption {
	return func(o *Owner) { o.bounds = used }
}

// NewOwner returns the owner that took over at now. The function limits returns the
// current limit of a workspace.
func NewOwner(now time.Time, term uint64, limits func(string) (Limit, bool), options ...OwnerOption) *Owner {
	o := &Owner{term: term, takeover: now, longest: DefaultSpan, limits: limits, buckets: make(map[string]*bucket), created: make(map[string]bool)}
	for _, option := range options {
		option(o)
	}
	return o
}

// Created notes that workspace came into being in the owner's own term, so that no earlier
// owner can have granted any of its tokens. It is called before the first grant.
func (o *Owner) Created(workspace string) { o.created[workspace] = true }

// lifetime is for how long after its deduction a grant of the given span can be spent, on the owner's clock.
func lifetime(span time.Duration) time.Duration { return span + span/driftDivisor }

// bucket returns the account of workspace as of now.
func (o *Owner) bucket(now time.Time, workspace string) (*bucket, bool) {
	limit, ok := o.limits(workspace)
	if !ok {
		return nil, false
	}
	b, ok := o.buckets[workspace]
	if !ok {
		b = o.open(workspace, limit)
		o.buckets[workspace] = b
	}
	b.advance(now)
	b.limit = limit
	return b, true
}

// open returns the account as it stood at the takeover.
func (o *Owner) open(workspace string, limit Limit) *bucket {
	b := &bucket{limit: limit, at: o.takeover, promise: math.MaxInt64, proposed: math.MaxInt64, hosts: make(map[string]asker), settled: make(map[uint64]int64)}
	unknown := limit.BurstTokens
	if used, ok := o.bounds[workspace]; ok {
		b.promise = used
		unknown = used
	} else if o.created[workspace] {
		unknown = 0
	}
	b.grant(0, unknown, o.takeover.Add(lifetime(o.longest)))
	return b
}

// Grant answers r. A need is granted whole or not at all, in the order of the hosts that
// wait; what is free beyond all needs is shared among the hosts that ask.
func (o *Owner) Grant(now time.Time, r GrantRequest) GrantAnswer {
	out := GrantAnswer{ID: r.ID, Term: o.term, Workspace: r.Workspace}
	b, ok := o.bucket(now, r.Workspace)
	if !ok {
		out.Never = true
		return out
	}
	for _, p := range r.Reports {
		o.report(b, p)
	}
	if r.NeedTokens > b.limit.BurstTokens {
		out.Never = true
		return out
	}
	if !b.fresh(now, r) {
		return out
	}
	tokens, wait := o.decide(now, b, r)
	if tokens == 0 {
		out.RetryAfter = wait
		return out
	}
	span := b.span(o.longest)
	o.lastID++
	b.grant(o.lastID, tokens, now.Add(lifetime(span)))
	out.GrantID, out.Tokens, out.Span = o.lastID, tokens, span
	return out
}

// decide returns the tokens to grant, or how long to wait.
func (o *Owner) decide(now time.Time, b *bucket, r GrantRequest) (int64, time.Duration) {
	need := max(0, r.NeedTokens)
	ahead := b.ahead(now, r.Host)
	if b.free()-ahead < need {
		wait := b.wait(now, ahead+need)
		if wait <= r.Patience {
			b.enqueue(r.Host, need, now.Add(wait+waitSlack))
		} else {
			b.dequeue(r.Host)
		}
		return 0, wait
	}
	if b.promised() < need {
		b.blocked = max(b.blocked, need)
		b.enqueue(r.Host, need, now.Add(promiseDelay+waitSlack))
		return 0, promiseDelay
	}
	b.dequeue(r.Host)
	spare := min(b.free(), b.promised()) - b.queued(r.Host) - need
	share := max(0, spare) / b.active(now, o.longest)
	extra := min(max(0, r.WantTokens-need), share)
	return need + extra, stockRetryAfter
}

// report takes p, unless it is about a grant of another owner.
func (o *Owner) report(b *bucket, p GrantReport) {
	if p.Term != o.term || p.GrantID == 0 || p.GrantID > o.lastID {
		return
	}
	b.close(p.GrantID, p.ReturnedTokens)
	if more := p.SettledTokens - b.settled[p.GrantID]; more > 0 {
		b.noteSettled(p.GrantID, p.SettledTokens)
		b.settle(p.GrantID, more)
	}
}

// Return takes reports about grants of workspace without a request for more.
func (o *Owner) Return(now time.Time, workspace string, reports []GrantReport) {
	b, ok := o.bucket(now, workspace)
	if !ok {
		return
	}
	for _, p := range reports {
		o.report(b, p)
	}
}
