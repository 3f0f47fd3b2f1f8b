package masticcall

import (
	"context"
	"time"

	"masticladder/masticview"
)

// Verdict is what a host knows of a backend server under which requests failed.
type Verdict int

// The verdicts.
const (
	// VerdictUnknown means that the server has not been observed since.
	VerdictUnknown Verdict = iota
	// VerdictAlive means that it has answered since.
	VerdictAlive
	// VerdictLost means that it has shown no sign of life since, and no proof of its end.
	VerdictLost
	// VerdictEnded means that its incarnation has ended.
	VerdictEnded
	// VerdictCompleted means that a server has completed the requests of the report, whatever became of
	// others.
	VerdictCompleted
)

// String returns the name that logs use.
func (v Verdict) String() string {
	return [...]string{"unknown", "alive", "lost", "ended", "completed"}[v]
}

// FailedRequest is a request that was running when a backend server failed.
type FailedRequest struct {
	Content Content
	// ContentCompleted reports that a server has completed this very content a short time ago, so that only
	// the parts of its prompt may have caused the failure.
	ContentCompleted bool
	// SentAt is when it was sent to the server.
	SentAt time.Time
}

// ServerReport states the verdict on an incarnation of a backend server and the requests that were
// running when it failed. A report that the server is alive has none.
type ServerReport struct {
	// ID identifies the report. The receiver sets it.
	ID                  uint64
	Server, Incarnation string
	Verdict             Verdict
	FailedAt            time.Time
	Requests            []FailedRequest
	// CompletedParts states when requests with parts of prompts last completed for this host: of those in
	// Requests, or with VerdictCompleted of suspects.
	CompletedParts map[masticview.Digest]time.Time
}

// SuspectReporter shares between hosts the requests that were running when a backend server failed.
// The verdict on a server that was reported lost is reported once it is known.
type SuspectReporter interface {
	Report(r ServerReport)
}

// HoldOutcome is the answer to a request for a hold.
type HoldOutcome int

// The outcomes of Holds.Hold.
const (
	// HoldGranted means that the request may run on the backend server.
	HoldGranted HoldOutcome = iota
	// HoldServerBusy means that another suspect has the server.
	HoldServerBusy
	// HoldPartBusy means that another request with a suspected part runs, on any server.
	HoldPartBusy
)

// Holds ensure, across all hosts, that requests which may crash a backend server do not run
// on the same server at the same time, and that one request at a time runs with a part of its prompt that
// may do so.
type Holds interface {
	// Suspected reports whether requests with content c, or with one of its parts, may crash a backend server.
	Suspected(c Content) bool
	// Turn waits until no other request of this host has the turn of a suspected part of c, and takes the
	// turns of all of them. Release and EndTurn end them. It returns the error of ctx.
	Turn(ctx context.Context, c Content) error
	EndTurn(c Content)
	// Hold requests the right of suspect c to run on server until deadline. With HoldPartBusy it also returns
	// the time after which to ask again. The error has kind quarantined, noQuorum or outcomeUnknown.
	Hold(ctx context.Context, c Content, server string, deadline time.Time) (HoldOutcome, time.Duration, error)
	// Release releases a hold. A request that completed is no longer a suspect, and neither are its parts.
	Release(c Content, server string, completed bool)
}
