package masticcall

import (
	"context"
	"time"

	"masticladder/masticview"
)

// OrderKey names a call that may not be repeated.
type OrderKey struct {
	Workspace      string
	IdempotencyKey string
}

// StoredAnswer is the bounded copy of an answer to a call that may not be repeated.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
}

// OrderState is what the ledger says to a reservation.
type OrderState string

// The states of an order for the daemon that asks.
const (
	// OrderReserved gives the right to dispatch once.
	OrderReserved OrderState = "reserved"
	// OrderInFlight says that another dispatch is running.
	OrderInFlight OrderState = "inFlight"
	// OrderDone gives the recorded answer.
	OrderDone OrderState = "done"
	// OrderUnknown says that the outcome cannot be known.
	OrderUnknown OrderState = "unknown"
)

// Reservation is the ledger's answer to Reserve.
type Reservation struct {
	State  OrderState
	Answer StoredAnswer
}

// Ledger keeps calls that may not be repeated from running twice, over all hosts.
type Ledger interface {
	// Reserve asks for the right to dispatch. Errors: idempotencyKeyReused,
	// idempotencyKeyTooOld, noQuorum. After any error nothing may be dispatched.
	Reserve(ctx context.Context, k OrderKey, request masticview.Digest, deadline time.Time) (Reservation, error)
	// Record records the outcome; a nil answer means that the outcome is unknown.
	Record(ctx context.Context, k OrderKey, answer *StoredAnswer) error
	// Release ends the reservation; the caller proves that nothing was sent.
	Release(ctx context.Context, k OrderKey) error
}
