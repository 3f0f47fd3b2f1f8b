// Package masticlease grants and holds view leases. A host serves keyed requests only while it
// holds a lease, so that an isolated host stops within one lease lifetime.
//
// The package assumes that two processes with the same host name do not serve at the same time:
// a host listens on one address. After a restart, a host's former lease still counts until it
// expires.
package masticlease

import (
	"time"
)

// DefaultLeaseLifetime is the default lifetime of a lease.
const DefaultLeaseLifetime = 3 * time.Second

// driftDivisor is the assumed limit of clock drift: the rates of two clocks differ by at most 1/64.
const driftDivisor = 64

// graceDivisor sets how long a host may lag behind a commit and still renew: 1/4 of the lease's
// lifetime.
const graceDivisor = 4

// MaxLeases limits the leases that a grantor tracks; renewals beyond it are refused.
const MaxLeases = 65_536

// Renewal requests a lease or its extension.
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
	// Lifetime is the lease's lifetime, counted from when the renewal was sent; zero for a refusal.
	Lifetime time.Duration
	// Revision is the newest committed revision that the grantor knows of.
	Revision uint64
}

type leaseKey struct{ host, incarnation string }

type lease struct {
	expiresAt    time.Time
	acknowledged uint64
}

// commit is a revision and the time at which the grantor learned of its commit.
type commit struct {
	revision uint64
	at       time.Time
}

// Grantor grants the leases of one leader's term. It is not safe for concurrent use.
type Grantor struct {
	term     uint64
	lifetime time.Duration
	leases   map[leaseKey]lease
	// formerLeasesUntil is when the last lease granted by an earlier leader expires.
	formerLeasesUntil time.Time
	// unrenewed are the hosts that may hold a lease of an earlier leader and have not renewed
	// yet; nil if these hosts are not known.
	unrenewed      map[string]struct{}
	commits        []commit
	minRevision    uint64
	newestRevision uint64
}

// GrantorOption sets a property of a Grantor.
type GrantorOption func(*Grantor)

// WithLeaseLifetime sets the lifetime of a lease. It must be the same for all leaders.
func WithLeaseLifetime(d time.Duration) GrantorOption { return func(g *Grantor) { g.lifetime = d } }

// WithHosts names every host to which an earlier leader may have granted a lease, including
// retired hosts. Once all have renewed, InForce need not wait for one lifetime after the takeover.
func WithHosts(names []string) GrantorOption {
	return func(g *Grantor) {
		g.unrenewed = make(map[string]struct{}, len(names))
		for _, n := range names {
			g.unrenewed[n] = struct{}{}
		}
	}
}

// NewGrantor returns the grantor of the leader that took over at now. The revision is that of
// the state that contains everything earlier leaders committed; no host renews with a lower one.
func NewGrantor(now time.Time, term, revision uint64, options ...GrantorOption) *Grantor {
	g := &Grantor{term: term, lifetime: DefaultLeaseLifetime, leases: make(map[leaseKey]lease), newestRevision: revision, minRevision: revision}
	for _, o := range options {
		o(g)
	}
	g.formerLeasesUntil = now.Add(g.lifetimeWithDrift())
	return g
}

// lifetimeWithDrift returns how long after a grant its lease may be held, on the grantor's clock.
func (g *Grantor) lifetimeWithDrift() time.Duration { return g.lifetime + g.lifetime/driftDivisor }

func (g *Grantor) gracePeriod() time.Duration { return g.lifetime / graceDivisor }

// Committed records that revision was committed by now.
func (g *Grantor) Committed(now time.Time, revision uint64) {
	if revision <= g.newestRevision {
		return
	}
	g.newestRevision = revision
	g.commits = append(g.commits, commit{revision: revision, at: now})
}

// raiseMinRevision raises the lowest revision with which a host may renew to the commits whose
// grace period has passed.
func (g *Grantor) raiseMinRevision(now time.Time) {
	for len(g.commits) > 0 && !now.Before(g.commits[0].at.Add(g.gracePeriod())) {
		g.minRevision = max(g.minRevision, g.commits[0].revision)
		g.commits = g.commits[1:]
	}
}

// Renew answers r. leaderLeaseUntil is when the leader lease ends: no other leader can exist before
// it, and no view lease is granted from then on.
// A host that lags behind a commit for longer than the grace period is refused, so that a
// publish comes into force on all hosts within a bounded time.
func (g *Grantor) Renew(now, leaderLeaseUntil time.Time, r Renewal) Grant {
	refusal := Grant{ID: r.ID, Term: g.term, Revision: g.newestRevision}
	if !now.Before(leaderLeaseUntil) {
		return refusal
	}
	g.raiseMinRevision(now)
	key := leaseKey{r.Host, r.Incarnation}
	l, known := g.leases[key]
	if !known && len(g.leases) >= MaxLeases {
		g.removeExpired(now)
		if len(g.leases) >= MaxLeases {
			return refusal
		}
	}
	l.acknowledged = max(l.acknowledged, r.Acknowledged)
	if l.acknowledged < g.minRevision {
		if known {
			g.leases[key] = l
		}
		return refusal
	}
	if expiresAt := now.Add(g.lifetimeWithDrift()); expiresAt.After(l.expiresAt) {
		l.expiresAt = expiresAt
	}
	g.leases[key] = l
	delete(g.unrenewed, r.Host)
	return Grant{ID: r.ID, Term: g.term, Lifetime: g.lifetime, Revision: g.newestRevision}
}

// InForce reports whether every unexpired lease has acknowledged revision r. If so, no host can
// renew with a lower revision from then on. Otherwise it returns the time by which r will be in
// force.
func (g *Grantor) InForce(now time.Time, r uint64) (bool, time.Time) {
	var by time.Time
	if now.Before(g.formerLeasesUntil) && (g.unrenewed == nil || len(g.unrenewed) > 0) {
		by = g.formerLeasesUntil
	}
	for _, l := range g.leases {
		if l.acknowledged < r && now.Before(l.expiresAt) && l.expiresAt.After(by) {
			by = l.expiresAt
		}
	}
	if by.IsZero() {
		g.minRevision = max(g.minRevision, r)
		return true, now
	}
	if bound, ok := g.inForceBound(r); ok && bound.After(by) {
		by = bound
	}
	return false, by
}

// inForceBound returns the time by which every lease with a revision below r has expired, however
// often it is renewed until then; false if r has no recorded commit.
func (g *Grantor) inForceBound(r uint64) (time.Time, bool) {
	for _, c := range g.commits {
		if c.revision >= r {
			return c.at.Add(g.gracePeriod() + g.lifetimeWithDrift()), true
		}
	}
	return time.Time{}, false
}

// Active returns the number of unexpired leases.
func (g *Grantor) Active(now time.Time) int {
	n := 0
	for _, l := range g.leases {
		if now.Before(l.expiresAt) {
			n++
		}
	}
	return n
}

// removeExpired removes expired leases.
func (g *Grantor) removeExpired(now time.Time) {
	for key, l := range g.leases {
		if !now.Before(l.expiresAt) {
			delete(g.leases, key)
		}
	}
}

// RemoveExpired removes expired leases. The caller calls it periodically to free memory.
func (g *Grantor) RemoveExpired(now time.Time) { g.removeExpired(now) }
