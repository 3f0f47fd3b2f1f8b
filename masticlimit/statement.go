// Package masticlimit shares among all hosts the rate of requests that a backend server states in its
// answers. One host, which rendezvous hashing chooses for each server, allocates the rate as tokens to
// the hosts that have requests for the server. The package performs no I/O and takes the time as an
// argument.
package masticlimit

import "time"

// Statement is what a backend server stated last, as far as a host knows.
type Statement struct {
	Server, Incarnation string
	// Version increases with each change that a host observes.
	Version uint64
	Limited bool
	// RequestsPerSecond is the rate over all hosts, zero unless Limited is set.
	RequestsPerSecond float64
}

// WithRate returns the next version, with the rate of o.
func (s Statement) WithRate(o Observation) Statement {
	s.Version++
	s.Limited, s.RequestsPerSecond = o.Limited, 0
	if o.Limited {
		s.RequestsPerSecond = o.RequestsPerSecond
	}
	return s.bounded()
}

// supersedes reports whether s replaces o. Of two statements with the same version, which hosts
// observed independently, the lower limit is kept.
func (s Statement) supersedes(o Statement) bool {
	if s.Version != o.Version {
		return s.Version > o.Version
	}
	return s.isLower(o)
}

// isLower reports whether s limits the server to a lower rate than o.
func (s Statement) isLower(o Statement) bool {
	return s.Limited && (!o.Limited || s.RequestsPerSecond < o.RequestsPerSecond)
}

// maxRequestsPerSecond is the rate from which a limit binds no host. It bounds the tokens of a server.
const maxRequestsPerSecond = 10_000

// bounded returns s without a limit that binds no host.
func (s Statement) bounded() Statement {
	if s.Limited && !(s.RequestsPerSecond < maxRequestsPerSecond) {
		s.Limited, s.RequestsPerSecond = false, 0
	}
	return s
}

// minRequestsPerSecond is the rate allocated to a server that states a lower one, down to zero: without
// any requests, the end of the limit would not be noticed.
const minRequestsPerSecond = 0.25

// rate returns the rate to allocate, in requests per second.
func (s Statement) rate() float64 { return max(s.RequestsPerSecond, minRequestsPerSecond) }

// Observation is what one answer stated.
type Observation struct {
	Limited           bool
	RequestsPerSecond float64
	// SentAt is when the request of the answer was sent.
	SentAt time.Time
}
