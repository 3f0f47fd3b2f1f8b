package masticstate

import (
	"masticladder/masticcall"
	"masticladder/masticview"
)

// Result is what a command of the log did. It is one of the types of this package that
// end in Result, by the kind of the command.
type Result interface{ isResult() }

// InvalidResult answers a command without a known kind.
type InvalidResult struct{ Err error }

// PublishResult answers a Publish. Err is nil, or has kind conflict or badRequest.
type PublishResult struct {
	// Revision is the one that the change made; after a conflict it is the current one.
	Revision uint64
	// Repeated reports that this is the first answer again.
	Repeated bool
	Err      error
}

// ReserveResult answers a Reserve. Nothing may be dispatched unless Err is nil and the state is reserved.
type ReserveResult struct {
	Reservation masticcall.Reservation
	Err         error
}

// ReleaseResult answers a Release; see masticledger.Ledger.Release.
type ReleaseResult struct{ Released bool }

// RecordResult answers a Record; see masticledger.Ledger.Record.
type RecordResult struct{ Recorded bool }

// QuotaResult answers a QuotaCheckpoint.
type QuotaResult struct {
	Term, Sequence uint64
	Applied        bool
}

// UsageResult answers a UsageReport.
type UsageResult struct {
	Sequence uint64
	// Open is false for a daemon incarnation whose rows are closed, because another one of its
	// host reported later. A daemon that still runs then counts on under a new incarnation.
	Open bool
}

// SuspectResult answers a SuspectReport.
type SuspectResult struct {
	Quarantined []masticview.Digest
	Err         error
}

// HoldResult answers a SuspectHold.
type HoldResult struct{ Held bool }

// EndResult answers a SuspectEnd.
type EndResult struct{}

// TickResult answers a Tick.
type TickResult struct{}

// LoadResult answers a LoadOrder.
type LoadResult struct{ Applied bool }

// DocumentResult answers a PutDocument. Err is nil, or has kind conflict or badRequest.
type DocumentResult struct {
	// Number is that of the document in force.
	Number uint64
	// Repeated reports that nothing changed: the number is not above the one in force.
	Repeated bool
	Err      error
}

// WeightsResult answers a NameWeights.
type WeightsResult struct{ Err error }

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
func (EndResult) isResult()      {}
func (TickResult) isResult()     {}
func (LoadResult) isResult()     {}
