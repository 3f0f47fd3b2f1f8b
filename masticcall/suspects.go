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
	Digest masticview.Digest
	// SentAt is when it was sent to the server.
	SentAt time.Time
}

// ServerReport states the verdict on an incarnation of a backend server and the requests that were
// running when it failed. A report that the server is alive has none.
type ServerReport struct {
	Server, Incarnation string
	Verdict             Verdict
	FailedAt            time.Time
	Requests            []FailedRequest
}

// SuspectReporter shares between hosts the requests that were running when a backend server failed.
// The verdict on a server that was reported lost is reported once it is known.
type SuspectReporter interface {
	Report(r ServerReport)
}

// Holds ensure, across all hosts, that requests which may crash a backend server do not run
// on the same server at the same time.
type Holds interface {
	// Suspected reports whether the request with digest d may crash a backend server.
	Suspected(d masticview.Digest) bool
	// Hold requests the exclusive right of suspect d to run on server until deadline. It
	// returns false if another suspect has it. The error has kind quarantined, noQuorum or
	// outcomeUnknown.
	Hold(ctx context.Context, d masticview.Digest, server string, deadline time.Time) (bool, error)
	// Release releases a hold. A request that completed is no longer a suspect.
	Release(d masticview.Digest, server string, completed bool)
}
