package masticledger

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// Frozen is a ledger as it stood at one moment. Any goroutine may encode it.
type Frozen struct {
	orders       map[orderID]order
	workspaces   []*masticproto.LedgerWorkspace
	bodySequence uint64
}

// Freeze returns the ledger as it stands now. It takes far less time than encoding it.
func (g *Ledger) Freeze() Frozen {
	f := Frozen{orders: maps.Clone(g.orders), bodySequence: g.bodies.sequence}
	for _, n := range slices.Sorted(maps.Keys(g.workspaces)) {
		horizon, tombstones := g.workspaces[n].ages.Save()
		if horizon == 0 && len(tombstones) == 0 {
			continue
		}
		f.workspaces = append(f.workspaces, &masticproto.LedgerWorkspace{
			Workspace: n, HorizonUnixMs: horizon, Tombstones: tombstones,
		})
	}
	return f
}

// Snapshot returns the whole ledger in wire form, in a fixed order.
func (f Frozen) Snapshot() *masticproto.LedgerSnapshot {
	ids := slices.SortedFunc(maps.Keys(f.orders), func(a, b orderID) int { return bytes.Compare(a[:], b[:]) })
	records := make([]masticproto.OrderRecord, len(ids))
	requests := make([]masticview.Digest, len(ids))
	out := &masticproto.LedgerSnapshot{
		Orders: make([]*masticproto.OrderRecord, len(ids)), Workspaces: f.workspaces, BodySequence: f.bodySequence,
	}
	for i := range ids {
		o := f.orders[ids[i]]
		requests[i] = o.digest
		encodeOrder(&records[i], ids[i][:], requests[i][:], o)
		out.Orders[i] = &records[i]
	}
	return out
}

// Restore returns the ledger that s holds. Error: badRequest for a malformed record.
func Restore(s *masticproto.LedgerSnapshot, options ...Option) (*Ledger, error) {
	g := New(options...)
	for _, w := range s.GetWorkspaces() {
		k := g.workspace(w.GetWorkspace())
		k.ages = RestoreAges(w.GetHorizonUnixMs(), w.GetTombstones())
		k.opaque = k.ages.Tombstones()
		g.opaque += k.opaque
	}
	g.bodies.sequence = s.GetBodySequence()
	for _, r := range s.GetOrders() {
		if err := g.restoreOrder(r); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(g.bodies.queue, func(a, b orderID) int {
		return cmp.Compare(g.orders[a].bodyAt, g.orders[b].bodyAt)
	})
	return g, nil
}

func (g *Ledger) restoreOrder(r *masticproto.OrderRecord) error {
	if len(r.GetId()) != orderIDBytes {
		return masticerror.New(masticerror.KindBadRequest, "an order's identifier has %d bytes", len(r.GetId()))
	}
	digest, err := masticview.DigestFromBytes(r.GetRequestDigest())
	if err != nil {
		return err
	}
	id := orderID(r.GetId())
	o := order{
		digest:      digest,
		workspace:   g.workspace(r.GetWorkspace()),
		holder:      g.holder(r.GetHost(), r.GetIncarnation()),
		answer:      decodeAnswer(r.GetAnswer()),
		attempt:     r.GetAttempt(),
		deadline:    r.GetDeadlineUnixMs(),
		retainUntil: r.GetRetainUntilUnixMs(),
		keyTime:     r.GetKeyUnixMs(),
		bodyAt:      r.GetBodySequence(),
		phase:       phase(r.GetState()),
	}
	g.count(o.workspace, o.keyTime)
	if o.bodyAt != 0 {
		g.bodies.queue = append(g.bodies.queue, id)
		g.bodies.bytes += len(o.answer.Body)
	}
	g.orders[id] = o
	g.expiry.add(id, o.retainUntil)
	return nil
}

// encodeOrder sets p to o, whose identifier and request digest are given apart because
// they are kept by p.
func encodeOrder(p *masticproto.OrderRecord, id, request []byte, o order) {
	p.Id = id
	p.RequestDigest = request
	p.Workspace = o.workspace.name
	p.Host = o.holder.host
	p.Incarnation = o.holder.incarnation
	p.Attempt = o.attempt
	p.DeadlineUnixMs = o.deadline
	p.RetainUntilUnixMs = o.retainUntil
	p.KeyUnixMs = o.keyTime
	p.State = int32(o.phase)
	p.Answer = encodeAnswer(o.answer)
	p.BodySequence = o.bodyAt
}

func encodeAnswer(a *masticcall.StoredAnswer) *masticproto.StoredAnswer {
	if a == nil {
		return nil
	}
	return &masticproto.StoredAnswer{
		Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body, Truncated: a.Truncated,
	}
}

func decodeAnswer(p *masticproto.StoredAnswer) *masticcall.StoredAnswer {
	if p == nil {
		return nil
	}
	return &masticcall.StoredAnswer{
		Status: int(p.GetStatus()), ContentType: p.GetContentType(), Body: p.GetBody(), Truncated: p.GetTruncated(),
	}
}
