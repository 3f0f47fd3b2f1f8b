// Package masticledger keeps calls that may not be repeated from running twice. It is
// deterministic: the replicated log gives it commands and the time.
//
// An order is named by its workspace and idempotency key. Reserve gives one attempt of
// one daemon incarnation the right to dispatch once. After the reservation's deadline its
// outcome is unknown, for good, unless the same attempt records an answer; it is never
// reserved again. Only a release by the very attempt that holds the reservation, before
// that deadline, lets the key be reserved again.
//
// A record is kept until its retention deadline. A key that comes later is refused as too
// old and never taken for new. A key that is a UUIDv7 or ULID bears its time: when such a
// record is dropped, the workspace's horizon moves to that time, and keys without a record
// from before the horizon are refused. Any other key leaves an 8-byte tombstone for good;
// when a workspace has MaxWorkspaceOpaqueKeys of records and tombstones, further keys that
// bear no time are refused, and keys that bear one go on. A million records with answers of
// 64 bytes take about 430 MB, a million tombstones about 10 MB. The alternative, to drop the oldest
// tombstones, would run an old key again; a Bloom filter would need 4 bytes instead of 8
// at a millionth of wrongful refusals, which is too little gain for an answer by chance.
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
	// MaxAnswerBytes bounds the kept body of one answer.
	MaxAnswerBytes = 64 << 10
	// MaxBodyBytes bounds all kept bodies together; the oldest are cut first.
	MaxBodyBytes = 64 << 20
	// MaxOrders bounds the records; when full, reservations are refused.
	MaxOrders = 1_000_000
	// MaxWorkspaceOrders bounds the records of one workspace.
	MaxWorkspaceOrders = 500_000
	// MaxOpaqueKeys bounds the records and tombstones of keys that bear no time.
	MaxOpaqueKeys = 16_000_000
	// MaxWorkspaceOpaqueKeys bounds those of one workspace.
	MaxWorkspaceOpaqueKeys = 4_000_000
	// MinRetention and MaxRetention bound the time from a reservation to its retention deadline.
	MinRetention = time.Hour
	MaxRetention = 30 * 24 * time.Hour
	// MaxRunning bounds the time from a reservation to its deadline.
	MaxRunning = 30 * time.Minute
)

// Ledger holds the orders. It is changed by one goroutine only.
type Ledger struct {
	orders     map[orderID]order
	expiry     expiry
	workspaces map[string]*workspace
	holders    map[holder]*holder
	bodies     bodies
	// opaque is the number of keys without a time, of records and tombstones.
	opaque int
	limits Limits
}

// Limits are the bounds that all replicas of a ledger must share.
type Limits struct {
	Orders, WorkspaceOrders         int
	OpaqueKeys, WorkspaceOpaqueKeys int
	BodyBytes                       int
}

// Option sets a property of a Ledger.
type Option func(*Ledger)

// WithLimits replaces the bounds. All replicas need the same.
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

// Reserve asks for the right to dispatch once. Errors: badRequest, deadlineExceeded,
// idempotencyKeyReused, idempotencyKeyTooOld, overloaded. After an error nothing may be dispatched.
func (g *Ledger) Reserve(now time.Time, r *masticproto.Reserve) (masticcall.Reservation, error) {
	digest, err := checkReserve(now, r)
	if err != nil {
		return masticcall.Reservation{}, err
	}
	id := newOrderID(r.GetWorkspace(), r.GetIdempotencyKey())
	if o, ok := g.orders[id]; ok {
		return g.again(now, id, o, digest, r)
	}
	w := g.workspace(r.GetWorkspace())
	keyTime := keyMillis(r.GetIdempotencyKey(), now)
	if err := g.checkNew(w, id, keyTime); err != nil {
		return masticcall.Reservation{}, err
	}
	g.count(w, keyTime)
	o := order{digest: digest, workspace: w, keyTime: keyTime}
	return g.reserve(now, id, o, r), nil
}

// again answers a reservation of a key that has a record.
func (g *Ledger) again(now time.Time, id orderID, o order, d masticview.Digest, r *masticproto.Reserve) (masticcall.Reservation, error) {
	if o.digest != d {
		return masticcall.Reservation{}, masticerror.New(masticerror.KindKeyReused, "the idempotency key stands for another request")
	}
	h := g.holder(r.GetHost(), r.GetIncarnation())
	if o.phase == phaseReleased {
		if o.holder == h && r.GetAttempt() <= o.attempt {
			return masticcall.Reservation{State: masticcall.OrderInFlight}, nil
		}
		return g.reserve(now, id, o, r), nil
	}
	if o.phase == phaseReserved && o.heldBy(h, r.GetAttempt()) && now.UnixMilli() < o.deadline {
		return masticcall.Reservation{State: masticcall.OrderReserved}, nil
	}
	out := masticcall.Reservation{State: o.state(now)}
	if o.phase == phaseDone {
		out.Answer = *o.answer
	}
	return out, nil
}

func (g *Ledger) reserve(now time.Time, id orderID, o order, r *masticproto.Reserve) masticcall.Reservation {
	o.holder = g.holder(r.GetHost(), r.GetIncarnation())
	o.attempt = r.GetAttempt()
	o.phase = phaseReserved
	o.deadline = min(r.GetDeadlineUnixMs(), now.Add(MaxRunning).UnixMilli())
	retain := max(r.GetRetainUntilUnixMs(), now.Add(MinRetention).UnixMilli(), o.deadline, o.retainUntil)
	retain = min(retain, now.Add(MaxRetention).UnixMilli())
	if retain != o.retainUntil {
		o.retainUntil = retain
		g.expiry.add(id, retain)
	}
	g.orders[id] = o
	return masticcall.Reservation{State: masticcall.OrderReserved}
}

// Release ends a reservation of which the same attempt proves that nothing was sent. It
// reports whether the attempt's reservation has been ended, now or before. A daemon whose
// Reserve had no answer repeats its Release until that is so or the deadline has passed,
// because the Reserve may be committed later.
func (g *Ledger) Release(now time.Time, r *masticproto.Release) bool {
	id := newOrderID(r.GetWorkspace(), r.GetIdempotencyKey())
	o, ok := g.orders[id]
	if !ok || !o.heldBy(g.known(r.GetHost(), r.GetIncarnation()), r.GetAttempt()) {
		return false
	}
	if o.phase != phaseReserved || now.UnixMilli() >= o.deadline {
		return o.phase == phaseReleased
	}
	o.phase = phaseReleased
	g.orders[id] = o
	return true
}

// Record records the outcome of the attempt that holds the reservation, also after its
// deadline. An answer replaces an unknown outcome and is never replaced. It reports whether
// an outcome of the attempt is recorded.
func (g *Ledger) Record(r *masticproto.Record) bool {
	id := newOrderID(r.GetWorkspace(), r.GetIdempotencyKey())
	o, ok := g.orders[id]
	if !ok || !o.heldBy(g.known(r.GetHost(), r.GetIncarnation()), r.GetAttempt()) {
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
	o.answer = g.keep(id, &o, r.GetAnswer())
	g.orders[id] = o
	g.cutBodies()
	return true
}

// Drop removes the records whose retention deadline has passed.
func (g *Ledger) Drop(now time.Time) {
	for _, id := range g.expiry.due(now.UnixMilli()) {
		o, ok := g.orders[id]
		if !ok || o.retainUntil > now.UnixMilli() {
			continue
		}
		g.drop(id, o)
	}
	g.forgetBodies()
}

func (g *Ledger) drop(id orderID, o order) {
	o.workspace.ages.Drop(id.tombstone(), o.keyTime)
	o.workspace.orders--
	if o.answer != nil {
		g.bodies.bytes -= len(o.answer.Body)
	}
	delete(g.orders, id)
}
