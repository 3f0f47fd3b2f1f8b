package masticledger

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// checkReserve validates r and returns its request digest. Errors: badRequest,
// deadlineExceeded.
func checkReserve(now time.Time, r *masticproto.Reserve) (masticview.Digest, error) {
	digest, err := masticview.DigestFromBytes(r.GetRequestDigest())
	if err != nil {
		return digest, err
	}
	if n := len(r.GetIdempotencyKey()); n == 0 || n > MaxKeyBytes {
		return digest, masticerror.New(masticerror.KindBadRequest, "an idempotency key has 1 to %d bytes", MaxKeyBytes)
	}
	if r.GetWorkspace() == "" || r.GetHost() == "" || r.GetIncarnation() == "" {
		return digest, masticerror.New(masticerror.KindBadRequest, "a reservation names its workspace, host and incarnation")
	}
	if r.GetDeadlineUnixMs() <= now.UnixMilli() {
		return digest, masticerror.New(masticerror.KindDeadline, "the deadline passed before the reservation")
	}
	return digest, nil
}

// checkNewKey returns an error for a key without a record if the key may have expired, or
// if a limit is reached. Errors: idempotencyKeyTooOld, overloaded.
func (g *Ledger) checkNewKey(w *workspace, id orderID, keyTimeMs int64) error {
	if w.expired.MayContain(id.tombstone(), keyTimeMs) {
		return masticerror.New(masticerror.KindKeyTooOld, "the idempotency key is older than the retention of its record")
	}
	if keyTimeMs == 0 && (w.opaqueKeys >= g.limits.WorkspaceOpaqueKeys || g.opaqueKeys >= g.limits.OpaqueKeys) {
		return masticerror.New(masticerror.KindKeyTooOld,
			"workspace %q has used %d keys that bear no time; send a UUIDv7 or ULID", w.name, w.opaqueKeys)
	}
	if w.orderCount >= g.limits.WorkspaceOrders || len(g.orders) >= g.limits.Orders {
		return masticerror.New(masticerror.KindOverloaded, "the ledger is full, with %d orders of workspace %q", w.orderCount, w.name)
	}
	return nil
}

// countNewOrder counts a new record of w. A key without a timestamp is never subtracted
// again: it occupies a record and afterwards a tombstone.
func (g *Ledger) countNewOrder(w *workspace, keyTimeMs int64) {
	w.orderCount++
	if keyTimeMs == 0 {
		w.opaqueKeys++
		g.opaqueKeys++
	}
}

// keyTimeMillis returns the timestamp embedded in key in Unix milliseconds, or zero if
// there is none.
func keyTimeMillis(key string, now time.Time) int64 {
	t, ok := KeyTime(key, now)
	if !ok {
		return 0
	}
	return t.UnixMilli()
}

// ensureWorkspace returns the workspace called name and adds it if it is missing.
func (g *Ledger) ensureWorkspace(name string) *workspace {
	w, ok := g.workspaces[name]
	if !ok {
		w = &workspace{name: name}
		g.workspaces[name] = w
	}
	return w
}

// internHolder returns the shared holder of a daemon incarnation and adds it if it is
// missing. Holders are compared by pointer.
func (g *Ledger) internHolder(host, incarnation string) *holder {
	k := holder{host, incarnation}
	h, ok := g.holders[k]
	if !ok {
		h = &k
		g.holders[k] = h
	}
	return h
}

// lookupHolder returns the shared holder of a daemon incarnation, or nil if it is missing.
func (g *Ledger) lookupHolder(host, incarnation string) *holder {
	return g.holders[holder{host, incarnation}]
}
