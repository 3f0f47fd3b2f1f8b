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

// orderID is a truncated SHA-256 digest of the workspace and its key.
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

// tombstone is the part of an identifier that outlives its record.
func (i orderID) tombstone() uint64 { return binary.BigEndian.Uint64(i[:]) }

type phase int32

const (
	phaseReserved phase = iota
	phaseReleased
	phaseDone
	phaseUnknown
)

// order is one record. Its times are in Unix milliseconds.
type order struct {
	digest      masticview.Digest
	workspace   *workspace
	holder      *holder
	answer      *masticcall.StoredAnswer
	attempt     uint64
	deadline    int64
	retainUntil int64
	keyTime     int64
	bodyAt      uint64
	phase       phase
}

// holder is one incarnation of a daemon.
type holder struct{ host, incarnation string }

// workspace is what is kept of one workspace besides its orders.
type workspace struct {
	name   string
	ages   Ages
	orders int
	// opaque is the number of keys without a time, of records and tombstones.
	opaque int
}

// state returns the order's state at now.
func (o order) state(now time.Time) masticcall.OrderState {
	switch {
	case o.phase == phaseDone:
		return masticcall.OrderDone
	case o.phase == phaseUnknown || now.UnixMilli() >= o.deadline:
		return masticcall.OrderUnknown
	default:
		return masticcall.OrderInFlight
	}
}

// heldBy reports whether the reservation is that of the holder's attempt.
func (o order) heldBy(h *holder, attempt uint64) bool {
	return o.holder == h && o.attempt == attempt
}
