package masticcall

import (
	"context"
	"time"

	"masticladder/masticview"
)

// OrderKey identifies an order, which is a call that may run at most once. Load orders are another
// thing: see masticplace.Order.
type OrderKey struct {
	Workspace      string
	IdempotencyKey string
}

// StoredAnswer is the copy of an answer to an order, truncated at a size limit.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// OrderState is the state of an order as the ledger returns it for a reservation.
type OrderState string

// The states of an order, as seen by the host that reserves it.
const (
	// OrderReserved grants the right to dispatch the order once.
	OrderReserved OrderState = "reserved"
	// OrderInFlight means that another dispatch of the order is running.
	OrderInFlight OrderState = "inFlight"
	// OrderDone means that the order has completed and its answer is recorded.
	OrderDone OrderState = "done"
	// OrderUnknown means that the outcome cannot be determined.
	OrderUnknown OrderState = "unknown"
)

// Reservation is the result of Ledger.Reserve. Answer is set in the state OrderDone.
type Reservation struct {
	State  OrderState
	Answer StoredAnswer
}

// Ledger ensures that each order is dispatched at most once across all hosts.
type Ledger interface {
	// Reserve requests the right to dispatch the order k with the given request digest.
	// Error kinds: idempotencyKeyReused, idempotencyKeyTooOld, noQuorum. After any error
	// nothing may be dispatched.
	Reserve(ctx context.Context, k OrderKey, request masticview.Digest, deadline time.Time) (Reservation, error)
	// Record stores the outcome; a nil answer means that the outcome is unknown.
	Record(ctx context.Context, k OrderKey, answer *StoredAnswer) error
	// Release cancels the reservation. It may be called only when nothing was sent.
	Release(ctx context.Context, k OrderKey) error
}
