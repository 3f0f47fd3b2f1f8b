// Package masticlease grants and holds view leases. A host serves keyed requests only
// while it holds one, so that an isolated host stops within one lease span.
//
// The package assumes that two processes with one host's name do not serve at once: a host
// listens on one address. A host that was restarted still counts with its former lease
// until that runs out.
package masticlease

import (
	"time"
)

// DefaultSpan is the time that a lease is granted for.
const DefaultSpan = 3 * time.Second

// driftDivisor bounds the difference of two clocks' rates to 1/64.
const driftDivisor = 64

// graceDivisor is the part of a span for which a host may lag behind a commit and still renew.
const graceDivisor = 4

// MaxLeases bounds the leases that a grantor tracks; renewals beyond it are refused.
const MaxLeases = 65_536

// Renewal asks for a lease.
type Renewal struct {
	// ID numbers the renewals of one daemon incarnation.
	ID                uint64
	Host, Incarnation string
	// Acknowledged is the revision that the host serves.
	Acknowledged uint64
}

// Grant answers a renewal.
type Grant struct {
	ID   uint64
	Term uint64
	// Span is the lease's length from the moment that the renewal was sent; zero for a refusal.
	Span time.Duration
	// Revision is the newest committed revision that the grantor knows of.
	Revision uint64
}

type member struct{ host, incarnation string }

type lease struct {
	until        time.Time
	acknowledged uint64
}

// commit is a revision that became known to be committed at a time.
type commit struct {
	revision uint64
	at       time.Time
}

// Grantor grants the leases of one leader's term. It is used by one goroutine.
type Grantor struct {
	term   uint64
	span   time.Duration
	leases map[member]lease
	// unknownUntil is when the last lease of an earlier leader runs out.
	unknownUntil time.Time
	// unrenewed are the hosts that may hold a lease of an earlier leader, and have not renewed.
	unrenewed map[string]struct{}
	commits   []commit
	floor     uint64
	newest    uint64
}

// GrantorOption sets a property of a Grantor.
type GrantorOption func(*Grantor)

// WithSpan sets the lease's length. All leaders need the same.
func WithSpan(d time.Duration) GrantorOption { return func(g *Grantor) { g.span = d } }

// WithHosts names every host to which an earlier leader may have granted a lease, retired
// ones among them. Once all have renewed, the grantor need not wait a span after takeover.
func WithHosts(names []string) GrantorOption {
	return func(g *Grantor) {
		g.unrenewed = make(map[string]struct{}, len(names))
		for _, n := range names {
			g.unrenewed[n] = struct{}{}
		}
	}
}

// NewGrantor returns the grantor of the leader that took over at now. The revision is that
// of the state which holds all that earlier leaders committed; no host renews with a lower one.
func NewGrantor(now time.Time, term, revision uint64, options ...GrantorOption) *Grantor {
	g := &Grantor{term: term, span: DefaultSpan, leases: make(map[member]lease), newest: revision, floor: revision}
	for _, o := range options {
		o(g)
	}
	g.unknownUntil = now.Add(g.outstanding())
	return g
}

// outstanding is for how long after a grant its lease may be held, on the grantor's clock.
func (g *Grantor) outstanding() time.Duration { return g.span + g.span/driftDivisor }

func (g *Grantor) grace() time.Duration { return g.span / graceDivisor }

// Committed notes that revision was committed by now.
func (g *Grantor) Committed(now time.Time, revision uint64) {
	if revision <= g.newest {
		return
	}
	g.newest = revision
	g.commits = append(g.commits, commit{revision: revision, at: now})
}

// raiseFloor sets the least revision with which a host may still renew.
func (g *Grantor) raiseFloor(now time.Time) {
	for len(g.commits) > 0 && !now.Before(g.commits[0].at.Add(g.grace())) {
		g.floor = max(g.floor, g.commits[0].revision)
		g.commits = g.commits[1:]
	}
}

// Renew answers r. The caller passes quorumUntil, until when no other leader can exist; no
// lease is granted after it. A host that lags behind a commit for longer than a part of the
// span is refused, so that a publish comes into force everywhere within a bounded time.
func (g *Grantor) Renew(now, quorumUntil time.Time, r Renewal) Grant {
	refusal := Grant{ID: r.ID, Term: g.term, Revision: g.newest}
	if !now.Before(quorumUntil) {
		return refusal
	}
	g.raiseFloor(now)
	m := member{r.Host, r.Incarnation}
	l, known := g.leases[m]
	if !known && len(g.leases) >= MaxLeases {
		g.forget(now)
		if len(g.leases) >= MaxLeases {
			return refusal
		}
	}
	l.acknowledged = max(l.acknowledged, r.Acknowledged)
	if l.acknowledged < g.floor {
		if known {
			g.leases[m] = l
		}
		return refusal
	}
	if until := now.Add(g.outstanding()); until.After(l.until) {
		l.until = until
	}
	g.leases[m] = l
	delete(g.unrenewed, r.Host)
	return Grant{ID: r.ID, Term: g.term, Span: g.span, Revision: g.newest}
}

// InForce reports whether every lease that is not run out has acknowledged revision r.
// From then on no host renews with a lower revision. Else it returns the time by which
// that will be so.
func (g *Grantor) InForce(now time.Time, r uint64) (bool, time.Time) {
	var by time.Time
	if now.Before(g.unknownUntil) && (g.unrenewed == nil || len(g.unrenewed) > 0) {
		by = g.unknownUntil
	}
	for _, l := range g.leases {
		if l.acknowledged < r && now.Before(l.until) && l.until.After(by) {
			by = l.until
		}
	}
	if by.IsZero() {
		g.floor = max(g.floor, r)
		return true, now
	}
	if bound, ok := g.bound(r); ok && bound.After(by) {
		by = bound
	}
	return false, by
}

// bound returns when the last lease with an older revision runs out, whoever renews until then.
func (g *Grantor) bound(r uint64) (time.Time, bool) {
	for _, c := range g.commits {
		if c.revision >= r {
			return c.at.Add(g.grace() + g.outstanding()), true
		}
	}
	return time.Time{}, false
}

// Active returns the number of leases that are not run out.
func (g *Grantor) Active(now time.Time) int {
	n := 0
	for _, l := range g.leases {
		if now.Before(l.until) {
			n++
		}
	}
	return n
}

// forget removes the leases that have run out.
func (g *Grantor) forget(now time.Time) {
	for m, l := range g.leases {
		if !now.Before(l.until) {
			delete(g.leases, m)
		}
	}
}

// Forget removes the leases that have run out; the caller does so now and then.
func (g *Grantor) Forget(now time.Time) { g.forget(now) }
