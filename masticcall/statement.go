package masticcall

import "time"

// Statement is what one answer states about its backend server, whatever became of the request. The zero
// value states nothing.
type Statement struct {
	Rate StatedRate
	// Leaving reports that the server is being taken out of service. It ends with the server's
	// incarnation.
	Leaving bool
	// PausedUntil is the time until which the server wants no requests from this host, zero if it has
	// not asked for that.
	PausedUntil time.Time
}

// Paused reports whether the server wants no requests from this host for some time.
func (s Statement) Paused() bool { return !s.PausedUntil.IsZero() }

// StatedRate is what an answer states of the rate of requests that its backend server takes. The zero
// value states nothing.
type StatedRate struct {
	Kind StatedRateKind
	// RequestsPerSecond is the rate that the server takes from all hosts together, for RateLimited.
	RequestsPerSecond float64
}

// StatedRateKind distinguishes statements.
type StatedRateKind int

// The kinds of statement.
const (
	// RateUnstated is the kind of answers from which nothing follows, such as refusals without a limit.
	RateUnstated StatedRateKind = iota
	// RateUnlimited is the kind of answers that would state a limit if there was one.
	RateUnlimited
	RateLimited
)
