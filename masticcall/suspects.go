package masticcall

import (
	"context"
	"time"

	"masticladder/masticview"
)

// SuspectReporter shares between hosts the digests of requests that were running when a backend
// server terminated.
type SuspectReporter interface {
	Report(server, serverIncarnation string, digests []masticview.Digest)
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
