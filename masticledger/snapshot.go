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

// Snapshot returns the whole ledger in wire form, in a fixed order.
func (g *Ledger) Snapshot() *masticproto.LedgerSnapshot {
	out := &masticproto.LedgerSnapshot{BodySequence: g.bodies.sequence}
	ids := make([]orderID, 0, len(g.orders))
	for id := range g.orders {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b orderID) int { return bytes.Compare(a[:], b[:]) })
	for _, id := range ids {
		out.Orders = append(out.Orders, encodeOrder(id, g.orders[id]))
	}
	for _, n := range slices.Sorted(maps.Keys(g.workspaces)) {
		w := g.workspaces[n]
		horizon, tombstones := w.ages.Save()
		if horizon == 0 && len(tombstones) == 0 {
			continue
		}
		out.Workspaces = append(out.Workspaces, &masticproto.LedgerWorkspace{
			Workspace: n, HorizonUnixMs: horizon, Tombstones: tombstones,
		})
	}
	return out
}

// Restore returns the ledger that s holds. Error: badRequest for a malformed record.
func Restore(s *masticproto.LedgerSnapshot, options ...Option) (*Ledger, error) {
	g := New(options...)
	for _, w := range s.GetWorkspaces() {
		g.workspace(w.GetWorkspace()).ages = RestoreAges(w.GetHorizonUnixMs(), w.GetTombstones())
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
	if o.keyTime == 0 {
		o.workspace.opaque++
	}
	if o.bodyAt != 0 {
		g.bodies.queue = append(g.bodies.queue, id)
		g.bodies.bytes += len(o.answer.Body)
	}
	g.orders[id] = o
	g.expiry.add(id, o.retainUntil)
	return nil
}

func encodeOrder(id orderID, o order) *masticproto.OrderRecord {
	return &masticproto.OrderRecord{
		Id:                id[:],
		RequestDigest:     o.digest[:],
		Workspace:         o.workspace.name,
		Host:              o.holder.host,
		Incarnation:       o.holder.incarnation,
		Attempt:           o.attempt,
		DeadlineUnixMs:    o.deadline,
		RetainUntilUnixMs: o.retainUntil,
		KeyUnixMs:         o.keyTime,
		State:             int32(o.phase),
		Answer:            encodeAnswer(o.answer),
		BodySequence:      o.bodyAt,
	}
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
