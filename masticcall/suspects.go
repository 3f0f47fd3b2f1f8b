package masticcall

import (
	"context"
	"time"

	"masticladder/masticview"
)

// Suspects shares the digests of requests that ran when a backend server ended.
type Suspects interface {
	Report(server, serverIncarnation string, digests []masticview.Digest)
}

// Holds keep requests that may end a backend server apart, over all hosts.
type Holds interface {
	// Suspected reports whether the request with digest d may end a backend server.
	Suspected(d masticview.Digest) bool
	// Hold asks for the right to run d on server until deadline. It reports false where
	// another suspect has it. The error has kind noQuorum or outcomeUnknown.
	Hold(ctx context.Context, d masticview.Digest, server string, deadline time.Time) (bool, error)
	// End ends a hold; a request that completed is a suspect no more.
	End(d masticview.Digest, server string, completed bool)
}
