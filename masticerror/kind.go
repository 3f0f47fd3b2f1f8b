// Package masticerror defines the closed list of error kinds and the one table
// that maps a kind to what a caller is told.
package masticerror

// Kind is one of the closed list of reasons for which a request can fail.
type Kind string

// The closed list of kinds.
const (
	KindBadRequest          Kind = "badRequest"
	KindBodyTooLarge        Kind = "bodyTooLarge"
	KindUnauthenticated     Kind = "unauthenticated"
	KindForbidden           Kind = "forbidden"
	KindNotFound            Kind = "notFound"
	KindUnknownModel        Kind = "unknownModel"
	KindConflict            Kind = "conflict"
	KindKeyReused           Kind = "idempotencyKeyReused"
	KindKeyTooOld           Kind = "idempotencyKeyTooOld"
	KindRateLimited         Kind = "rateLimited"
	KindOverloaded          Kind = "overloaded"
	KindDeadline            Kind = "deadlineExceeded"
	KindNoServer            Kind = "noServer"
	KindNoLease             Kind = "noLease"
	KindNoQuorum            Kind = "noQuorum"
	KindNotLeader           Kind = "notLeader"
	KindDraining            Kind = "draining"
	KindQuarantined         Kind = "quarantined"
	KindRetryBudget         Kind = "retryBudgetSpent"
	KindBackendRefused      Kind = "backendRefused"
	KindBackendFailed       Kind = "backendFailed"
	KindStreamBroken        Kind = "streamBroken"
	KindOutcomeUnknown      Kind = "outcomeUnknown"
	KindCommittedNotInForce Kind = "committedNotInForce"
	KindCancelled           Kind = "cancelled"
	KindInternal            Kind = "internal"
)
