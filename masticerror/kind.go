// Package masticerror defines the closed list of error kinds and the table that maps each kind
// to the answer that a caller receives.
package masticerror

// Kind is a reason for which a request can fail. The list of kinds is closed.
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
	KindStorageFull         Kind = "storageFull"
	KindRetryBudget         Kind = "retryBudgetSpent"
	KindBackendRefused      Kind = "backendRefused"
	KindBackendBusy         Kind = "backendBusy"
	KindBackendFailed       Kind = "backendFailed"
	KindStreamBroken        Kind = "streamBroken"
	KindOutcomeUnknown      Kind = "outcomeUnknown"
	KindCommittedNotInForce Kind = "committedNotInForce"
	KindCancelled           Kind = "cancelled"
	KindInternal            Kind = "internal"
)
