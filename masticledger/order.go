package masticledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"masticladder/masticcall"
	"masticladder/masticview"
)

// orderIDBytes is the length of an order's identifier.
const orderIDBytes = 16

// orderID is a truncated SHA-256 digest of the workspace and the idempotency key.
type orderID [orderIDBytes]byte

func newOrderID(workspace, key string) orderID {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(workspace)))
	h.Write(length[:])
	h.Write([]byte(workspace))
	h.Write([]byte(key))
	return orderID(h.Sum(nil)[:orderIDBytes])
}

// tombstone returns the first 8 bytes of the identifier, which are kept after the record
// has expired.
func (i orderID) tombstone() uint64 { return binary.BigEndian.Uint64(i[:]) }

// phase is the stored state of an order. Its values are part of the snapshot format.
type phase int32

const (
	phaseReserved phase = iota
	phaseReleased
	phaseDone
	phaseUnknown
)

// order is one record. Its times are in Unix milliseconds; keyTimeMs is zero for an opaque
// key, and bodySequence is zero if there is no stored body.
type order struct {
	digest        masticview.Digest
	workspace     *workspace
	holder        *holder
	answer        *masticcall.StoredAnswer
	attempt       uint64
	deadlineMs    int64
	retainUntilMs int64
	keyTimeMs     int64
	bodySequence  uint64
	phase         phase
}

// holder is the daemon incarnation that holds a reservation.
type holder struct{ host, incarnation string }

// workspace is the state of one workspace besides its orders.
type workspace struct {
	name       string
	expired    ExpiredKeys
	orderCount int
	// opaqueKeys is the number of keys without a timestamp, as records or tombstones.
	opaqueKeys int
}

// state returns the state of a reserved, completed or unknown order at now.
func (o order) state(now time.Time) masticcall.OrderState {
	switch {
	case o.phase == phaseDone:
		return masticcall.OrderDone
	case o.phase == phaseUnknown || now.UnixMilli() >= o.deadlineMs:
		return masticcall.OrderUnknown
	default:
		return masticcall.OrderInFlight
	}
}

// heldBy reports whether the reservation belongs to this attempt of h.
func (o order) heldBy(h *holder, attempt uint64) bool {
	return o.holder == h && o.attempt == attempt
}
