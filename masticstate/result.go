package masticstate

import (
	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// Result is the result of a command of the log. Each kind of command has its own type,
// whose name ends in Result.
type Result interface{ isResult() }

// InvalidResult is the result of a command of an unknown kind, or at an index that was
// applied before.
type InvalidResult struct{ Err error }

// PublishResult is the result of a Publish. Err is nil, or has kind conflict or badRequest.
type PublishResult struct {
	// Revision is the one that the change created; after a conflict, the current one.
	Revision uint64
	// Repeated reports that this is the recorded result of an earlier Publish.
	Repeated bool
	Err      error
}

// ReserveResult is the result of a Reserve. The order may be dispatched only if Err is nil
// and the state is reserved.
type ReserveResult struct {
	Reservation masticcall.Reservation
	Err         error
}

// ReleaseResult is the result of a Release; see masticledger.Ledger.Release.
type ReleaseResult struct{ Released bool }

// RecordResult is the result of a Record; see masticledger.Ledger.Record.
type RecordResult struct{ Recorded bool }

// QuotaResult is the result of a QuotaCheckpoint. Applied is false if it is not newer than
// the last one.
type QuotaResult struct {
	Term, Sequence uint64
	Applied        bool
}

// UsageResult is the result of a UsageReport.
type UsageResult struct {
	Sequence uint64
	// Open is false for a daemon incarnation whose rows are closed because a newer incarnation
	// of the same host has reported. A daemon that is still running then continues to count
	// under a new incarnation.
	Open bool
}

// SuspectResult is the result of a SuspectReport.
type SuspectResult struct {
	// Server, Verdict, Requests and Parts are those of the report; Failures is the largest number of failed
	// servers that one of the requests has.
	Server                    string
	Verdict                   masticproto.Verdict
	Requests, Parts, Failures int
	Err                       error
}

// LeavingResult is the result of a ServerLeaving. Applied is false if it changed nothing.
type LeavingResult struct{ Applied bool }

// HoldResult is the result of a SuspectHold. Held is also true, with no hold recorded, for a
// request that is not a suspect. Err has kind quarantined for a quarantined request.
type HoldResult struct {
	Held bool
	// PartBusy reports that another request with a suspected part runs, on any server.
	PartBusy bool
	Err      error
}

// OriginsResult is the result of StreamOrigins. Unrecorded are the begun streams that could not be recorded,
// Origins answers the questions in their order.
type OriginsResult struct {
	Unrecorded []masticcall.StreamKey
	Origins    []masticcall.StreamOrigin
}

// EndResult is the result of a SuspectEnd.
type EndResult struct{}

// TickResult is the result of a Tick.
type TickResult struct{}

// LoadResult is the result of a LoadOrder; see masticplace.Orders.Apply.
type LoadResult struct{ Applied bool }

// DocumentResult is the result of a PutDocument. Err is nil, or has kind conflict or
// badRequest.
type DocumentResult struct {
	// Number is the number of the document in force.
	Number uint64
	// Repeated reports that nothing changed because the number is not higher than the one in
	// force.
	Repeated bool
	Err      error
}

// WeightsResult is the result of a NameWeights.
type WeightsResult struct{ Err error }

// RolloutResult is the result of an OrderRollout or a StepRollout. Err is nil, or has kind conflict or badRequest.
type RolloutResult struct {
	// Repeated reports that the order was accepted before.
	Repeated bool
	// Rollout is the service's rollout after the command.
	Rollout masticview.Rollout
	Err     error
}

func (RolloutResult) isResult()  {}
func (DocumentResult) isResult() {}
func (WeightsResult) isResult()  {}
func (InvalidResult) isResult()  {}
func (PublishResult) isResult()  {}
func (ReserveResult) isResult()  {}
func (ReleaseResult) isResult()  {}
func (RecordResult) isResult()   {}
func (QuotaResult) isResult()    {}
func (UsageResult) isResult()    {}
func (SuspectResult) isResult()  {}
func (HoldResult) isResult()     {}
func (OriginsResult) isResult()  {}
func (EndResult) isResult()      {}
func (TickResult) isResult()     {}
func (LoadResult) isResult()     {}
func (LeavingResult) isResult()  {}
