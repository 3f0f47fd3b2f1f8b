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

// Frozen is a point-in-time copy of a ledger. Any goroutine may encode it.
type Frozen struct {
	orders       map[orderID]order
	workspaces   []*masticproto.LedgerWorkspace
	bodySequence uint64
}

// Freeze returns a copy of the current ledger. It takes far less time than encoding it.
func (g *Ledger) Freeze() Frozen {
	f := Frozen{orders: maps.Clone(g.orders), bodySequence: g.bodies.sequence}
	for _, n := range slices.Sorted(maps.Keys(g.workspaces)) {
		horizon, tombstones := g.workspaces[n].expired.Save()
		if horizon == 0 && len(tombstones) == 0 {
			continue
		}
		f.workspaces = append(f.workspaces, &masticproto.LedgerWorkspace{
			Workspace: n, HorizonUnixMs: horizon, Tombstones: tombstones,
		})
	}
	return f
}

// Snapshot returns the whole ledger in wire form, in a deterministic order.
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

// Restore returns the ledger of snapshot s. Error: badRequest for a malformed record.
func Restore(s *masticproto.LedgerSnapshot, options ...Option) (*Ledger, error) {
	g := New(options...)
	for _, w := range s.GetWorkspaces() {
		ws := g.ensureWorkspace(w.GetWorkspace())
		ws.expired = RestoreExpiredKeys(w.GetHorizonUnixMs(), w.GetTombstones())
		ws.opaqueKeys = ws.expired.TombstoneCount()
		g.opaqueKeys += ws.opaqueKeys
	}
	g.bodies.sequence = s.GetBodySequence()
	for _, r := range s.GetOrders() {
		if err := g.restoreOrder(r); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(g.bodies.queue, func(a, b orderID) int {
		return cmp.Compare(g.orders[a].bodySequence, g.orders[b].bodySequence)
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
		digest:        digest,
		workspace:     g.ensureWorkspace(r.GetWorkspace()),
		holder:        g.internHolder(r.GetHost(), r.GetIncarnation()),
		answer:        decodeAnswer(r.GetAnswer()),
		attempt:       r.GetAttempt(),
		deadlineMs:    r.GetDeadlineUnixMs(),
		retainUntilMs: r.GetRetainUntilUnixMs(),
		keyTimeMs:     r.GetKeyUnixMs(),
		bodySequence:  r.GetBodySequence(),
		phase:         phase(r.GetState()),
	}
	g.countNewOrder(o.workspace, o.keyTimeMs)
	if o.bodySequence != 0 {
		g.bodies.queue = append(g.bodies.queue, id)
		g.bodies.bytes += len(o.answer.Body)
	}
	g.orders[id] = o
	g.expiry.add(id, o.retainUntilMs)
	return nil
}

// encodeOrder fills p from o. The identifier and the request digest are separate
// parameters because p retains these slices.
func encodeOrder(p *masticproto.OrderRecord, id, request []byte, o order) {
	p.Id = id
	p.RequestDigest = request
	p.Workspace = o.workspace.name
	p.Host = o.holder.host
	p.Incarnation = o.holder.incarnation
	p.Attempt = o.attempt
	p.DeadlineUnixMs = o.deadlineMs
	p.RetainUntilUnixMs = o.retainUntilMs
	p.KeyUnixMs = o.keyTimeMs
	p.State = int32(o.phase)
	p.Answer = encodeAnswer(o.answer)
	p.BodySequence = o.bodySequence
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
