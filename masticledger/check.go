package masticledger

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

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

// checkNew refuses a key without a record that may have had one.
func (g *Ledger) checkNew(w *workspace, id orderID, keyTime int64) error {
	if w.ages.Dropped(id.tombstone(), keyTime) {
		return masticerror.New(masticerror.KindKeyTooOld, "the idempotency key is older than the retention of its record")
	}
	if keyTime == 0 && (w.opaque >= g.limits.WorkspaceOpaqueKeys || g.opaque >= g.limits.OpaqueKeys) {
		return masticerror.New(masticerror.KindKeyTooOld,
			"workspace %q has used %d keys that bear no time; send a UUIDv7 or ULID", w.name, w.opaque)
	}
	if w.orders >= g.limits.WorkspaceOrders || len(g.orders) >= g.limits.Orders {
		return masticerror.New(masticerror.KindOverloaded, "the ledger is full, with %d orders of workspace %q", w.orders, w.name)
	}
	return nil
}

// count counts a new record of w. A key without a time counts for good, as a record and
// then as a tombstone.
func (g *Ledger) count(w *workspace, keyTime int64) {
	w.orders++
	if keyTime == 0 {
		w.opaque++
		g.opaque++
	}
}

// keyMillis returns the time that key bears in Unix milliseconds, or zero.
func keyMillis(key string, now time.Time) int64 {
	t, ok := KeyTime(key, now)
	if !ok {
		return 0
	}
	return t.UnixMilli()
}

func (g *Ledger) workspace(name string) *workspace {
	w, ok := g.workspaces[name]
	if !ok {
		w = &workspace{name: name}
		g.workspaces[name] = w
	}
	return w
}

// holder returns the one value that stands for the daemon incarnation.
func (g *Ledger) holder(host, incarnation string) *holder {
	k := holder{host, incarnation}
	h, ok := g.holders[k]
	if !ok {
		h = &k
		g.holders[k] = h
	}
	return h
}

// known is holder without adding an unknown one.
func (g *Ledger) known(host, incarnation string) *holder {
	return g.holders[holder{host, incarnation}]
}
