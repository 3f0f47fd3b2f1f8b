// Package masticledger guarantees that a call with an idempotency key, called an order, is
// dispatched at most once. It is deterministic: commands and time come from the replicated
// log.
//
// An order is identified by its workspace and idempotency key. Reserve grants one attempt
// of one daemon incarnation the right to dispatch once. If no outcome is recorded by the
// deadline of the reservation, the outcome is unknown from then on and the order is never
// reserved again; the same attempt may still record an answer. A key can be reserved again
// only if the attempt that holds the reservation releases it before that deadline.
//
// A record is kept until its retention deadline. A key that arrives later is rejected as
// too old and never treated as new. UUIDv7 and ULID keys have an embedded timestamp: when
// such a record expires, the horizon of the workspace advances to that timestamp, and keys
// up to the horizon that have no record are rejected. Every other key is opaque and leaves
// an 8-byte tombstone, which is never removed. When the records and tombstones of the
// opaque keys of a workspace reach MaxWorkspaceOpaqueKeys, further opaque keys are
// rejected, and keys with a timestamp are still accepted. A million records with answers
// of 64 bytes take about 430 MB, a million tombstones about 10 MB.
//
// Removing the oldest tombstones instead would run an old key again. A Bloom filter with a
// false positive rate of one in a million would need 4 bytes per key instead of 8, which
// saves too little to justify rejecting keys at random.
package masticledger

import (
	"time"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// Bounds of a ledger.
const (
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255
	// MaxAnswerBytes bounds the stored body of one answer.
	MaxAnswerBytes = 64 << 10
	// MaxBodyBytes bounds the stored bodies of all answers; the oldest are evicted first.
	MaxBodyBytes = 64 << 20
	// MaxOrders bounds the records; at the limit, reservations are rejected.
	MaxOrders = 1_000_000
	// MaxWorkspaceOrders bounds the records of one workspace.
	MaxWorkspaceOrders = 500_000
	// MaxOpaqueKeys bounds the records and tombstones of keys without a timestamp.
	MaxOpaqueKeys = 16_000_000
	// MaxWorkspaceOpaqueKeys bounds the records and tombstones of such keys per workspace.
	MaxWorkspaceOpaqueKeys = 4_000_000
	// MinRetention and MaxRetention bound the time from a reservation to its retention deadline.
	MinRetention = time.Hour
	MaxRetention = 30 * 24 * time.Hour
	// MaxReservationLifetime bounds the time from a reservation to its deadline.
	MaxReservationLifetime = 30 * time.Minute
)

// Ledger stores the orders. It is not safe for concurrent use.
type Ledger struct {
	orders     map[orderID]order
	expiry     expiry
	workspaces map[string]*workspace
	holders    map[holder]*holder
	bodies     bodies
	// opaqueKeys is the number of keys without a timestamp, as records or tombstones.
	opaqueKeys int
	limits     Limits
}

// Limits are the bounds of a ledger, in total and for each workspace: the numbers of orders and
// of keys without a timestamp, and the bytes of stored answers. They must be equal on all
// replicas.
type Limits struct {
	Orders, WorkspaceOrders         int
	OpaqueKeys, WorkspaceOpaqueKeys int
	BodyBytes                       int
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithLimits replaces the default limits. They must be equal on all replicas.
func WithLimits(l Limits) Option { return func(g *Ledger) { g.limits = l } }

// New returns an empty ledger.
func New(options ...Option) *Ledger {
	g := &Ledger{
		orders:     make(map[orderID]order),
		expiry:     newExpiry(),
		workspaces: make(map[string]*workspace),
		holders:    make(map[holder]*holder),
		limits: Limits{
			Orders: MaxOrders, WorkspaceOrders: MaxWorkspaceOrders,
			OpaqueKeys: MaxOpaqueKeys, WorkspaceOpaqueKeys: MaxWorkspaceOpaqueKeys,
			BodyBytes: MaxBodyBytes,
		},
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Orders returns the number of records.
func (g *Ledger) Orders() int { return len(g.orders) }

// Reserve requests the right to dispatch an order once. The caller may dispatch only if
// the returned state is reserved. Errors: badRequest, deadlineExceeded,
// idempotencyKeyReused, idempotencyKeyTooOld, overloaded; the caller must not dispatch.
func (g *Ledger) Reserve(now time.Time, r *masticproto.Reserve) (masticcall.Reservation, error) {
	digest, err := checkReserve(now, r)
	if err != nil {
		return masticcall.Reservation{}, err
	}
	id := newOrderID(r.GetWorkspace(), r.GetIdempotencyKey())
	if o, ok := g.orders[id]; ok {
		return g.reserveExisting(now, id, o, digest, r)
	}
	w := g.ensureWorkspace(r.GetWorkspace())
	keyTimeMs := keyTimeMillis(r.GetIdempotencyKey(), now)
	if err := g.checkNewKey(w, id, keyTimeMs); err != nil {
		return masticcall.Reservation{}, err
	}
	g.countNewOrder(w, keyTimeMs)
	o := order{digest: digest, workspace: w, keyTimeMs: keyTimeMs}
	return g.reserve(now, id, o, r), nil
}

// reserveExisting handles a reservation of a key that has a record. A duplicate or late Reserve
// of a released attempt does not reserve the order again.
func (g *Ledger) reserveExisting(now time.Time, id orderID, o order, d masticview.Digest, r *masticproto.Reserve) (masticcall.Reservation, error) {
	if o.digest != d {
		return masticcall.Reservation{}, masticerror.New(masticerror.KindKeyReused, "the idempotency key stands for another request")
	}
	h := g.internHolder(r.GetHost(), r.GetIncarnation())
	if o.phase == phaseReleased {
		if o.holder == h && r.GetAttempt() <= o.attempt {
			return masticcall.Reservation{State: masticcall.OrderInFlight}, nil
		}
		return g.reserve(now, id, o, r), nil
	}
	if o.phase == phaseReserved && o.heldBy(h, r.GetAttempt()) && now.UnixMilli() < o.deadlineMs {
		return masticcall.Reservation{State: masticcall.OrderReserved}, nil
	}
	out := masticcall.Reservation{State: o.state(now)}
	if o.phase == phaseDone {
		out.Answer = *o.answer
	}
	return out, nil
}

func (g *Ledger) reserve(now time.Time, id orderID, o order, r *masticproto.Reserve) masticcall.Reservation {
	o.holder = g.internHolder(r.GetHost(), r.GetIncarnation())
	o.attempt = r.GetAttempt()
	o.phase = phaseReserved
	o.deadlineMs = min(r.GetDeadlineUnixMs(), now.Add(MaxReservationLifetime).UnixMilli())
	retainUntilMs := max(r.GetRetainUntilUnixMs(), now.Add(MinRetention).UnixMilli(), o.deadlineMs, o.retainUntilMs)
	retainUntilMs = min(retainUntilMs, now.Add(MaxRetention).UnixMilli())
	if retainUntilMs != o.retainUntilMs {
		o.retainUntilMs = retainUntilMs
		g.expiry.add(id, retainUntilMs)
	}
	g.orders[id] = o
	return masticcall.Reservation{State: masticcall.OrderReserved}
}

// Release ends the reservation of an attempt that has dispatched nothing. It reports
// whether the reservation of this attempt is released, by this call or an earlier one. A
// daemon that got no answer to its Reserve repeats the Release until it succeeds or the
// deadline has passed, because the Reserve may be committed later.
func (g *Ledger) Release(now time.Time, r *masticproto.Release) bool {
	id := newOrderID(r.GetWorkspace(), r.GetIdempotencyKey())
	o, ok := g.orders[id]
	if !ok || !o.heldBy(g.lookupHolder(r.GetHost(), r.GetIncarnation()), r.GetAttempt()) {
		return false
	}
	if o.phase != phaseReserved || now.UnixMilli() >= o.deadlineMs {
		return o.phase == phaseReleased
	}
	o.phase = phaseReleased
	g.orders[id] = o
	return true
}

// Record stores the outcome of the attempt that holds the reservation, even after its
// deadline. An answer replaces an unknown outcome and is never replaced itself. It reports
// whether an outcome of this attempt is stored.
func (g *Ledger) Record(r *masticproto.Record) bool {
	id := newOrderID(r.GetWorkspace(), r.GetIdempotencyKey())
	o, ok := g.orders[id]
	if !ok || !o.heldBy(g.lookupHolder(r.GetHost(), r.GetIncarnation()), r.GetAttempt()) {
		return false
	}
	if o.phase == phaseReleased || o.phase == phaseDone {
		return o.phase == phaseDone
	}
	if r.GetUnknown() || r.GetAnswer() == nil {
		o.phase = phaseUnknown
		g.orders[id] = o
		return true
	}
	o.phase = phaseDone
	o.answer = g.storeAnswer(id, &o, r.GetAnswer())
	g.orders[id] = o
	g.evictBodies()
	return true
}

// Expire removes the records whose retention deadline has passed.
func (g *Ledger) Expire(now time.Time) {
	for _, id := range g.expiry.popDue(now.UnixMilli()) {
		o, ok := g.orders[id]
		if !ok || o.retainUntilMs > now.UnixMilli() {
			continue
		}
		g.remove(id, o)
	}
	g.compactBodyQueue()
}

func (g *Ledger) remove(id orderID, o order) {
	o.workspace.expired.Add(id.tombstone(), o.keyTimeMs)
	o.workspace.orderCount--
	if o.answer != nil {
		g.bodies.bytes -= len(o.answer.Body)
	}
	delete(g.orders, id)
}
