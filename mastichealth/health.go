// Package mastichealth is a circuit breaker with slow start: from errors and probes it decides
// whether and how much work a backend server may get.
package mastichealth

import (
	"slices"
	"time"
)

const (
	// firstCooldown is how long a backend server gets no work after its first failure.
	firstCooldown = 500 * time.Millisecond
	// maxCooldown is the longest cooldown after repeated failures.
	maxCooldown = 8 * time.Second
	// slowStartWindow is how long a recovered backend server gets less than its full share.
	slowStartWindow = 3 * time.Second
	// minShare is the share of work while half-open and at the start of the slow start.
	minShare = 0.1
	// maxPrevious is the number of replaced incarnations that are recognized.
	maxPrevious = 8
)

// Server is the health of one backend server. The zero Server is healthy.
type Server struct {
	incarnation string
	// previous are the incarnations replaced last, the newest first.
	previous [maxPrevious]string
	failures int
	// downUntil is the end of the cooldown after a failure.
	downUntil time.Time
	// slowStartUntil is the end of the slow start.
	slowStartUntil time.Time
	// halfOpen reports that no success has followed the last failure; the slow start begins with
	// one.
	halfOpen bool
	// failedAnswer reports that the last failure was a failed answer, so that a successful probe
	// is no sign of recovery.
	failedAnswer bool
}

// Incarnation returns the last incarnation that the backend server reported.
func (s *Server) Incarnation() string { return s.incarnation }

// Usable reports whether the backend server may get work at now.
func (s *Server) Usable(now time.Time) bool { return !now.Before(s.downUntil) }

// HalfOpen reports that no success has followed the last failure. After its cooldown such a
// backend server gets one request at a time.
func (s *Server) HalfOpen() bool { return s.halfOpen }

// Share returns the fraction of a healthy backend server's load that it may get, 0 to 1.
func (s *Server) Share(now time.Time) float64 {
	if !s.Usable(now) {
		return 0
	}
	if s.halfOpen {
		return minShare
	}
	left := s.slowStartUntil.Sub(now)
	if left <= 0 {
		return 1
	}
	return max(minShare, 1-float64(left)/float64(slowStartWindow))
}

// RecordConnectionFailure records a connection error, reset or failed probe.
func (s *Server) RecordConnectionFailure(now time.Time) { s.recordFailure(now, false) }

// RecordFailedAnswer records a failed answer of a backend server that can be reached.
func (s *Server) RecordFailedAnswer(now time.Time) { s.recordFailure(now, true) }

func (s *Server) recordFailure(now time.Time, failedAnswer bool) {
	s.failedAnswer = failedAnswer
	if s.failures > 0 && now.Before(s.downUntil) {
		return
	}
	cooldown := min(firstCooldown<<min(s.failures, 10), maxCooldown)
	s.failures++
	s.downUntil = now.Add(cooldown)
	s.halfOpen = true
}

// RecordProbeSuccess records a successful probe. It ends the cooldown after a connection
// failure; after a failed answer only a successful answer does.
func (s *Server) RecordProbeSuccess(now time.Time) {
	if !s.failedAnswer {
		s.RecordSuccess(now)
	}
}

// RecordSuccess records a successful answer. It ends the cooldown and begins the slow start.
func (s *Server) RecordSuccess(now time.Time) {
	if s.failures == 0 {
		return
	}
	s.failures = 0
	s.halfOpen = false
	s.downUntil = time.Time{}
	s.slowStartUntil = now.Add(slowStartWindow)
}

// IncarnationChange is the relation of a reported incarnation to the current one.
type IncarnationChange int

// The results of ObserveIncarnation.
const (
	// Same means the current incarnation, or none reported.
	Same IncarnationChange = iota
	// First means the first incarnation ever reported.
	First
	// Replaced means a new incarnation: all that is known of the old one is void.
	Replaced
	// Stale means an incarnation that another one has replaced.
	Stale
)

// ObserveIncarnation records the incarnation that the backend server reported.
func (s *Server) ObserveIncarnation(incarnation string) IncarnationChange {
	switch {
	case incarnation == "" || incarnation == s.incarnation:
		return Same
	case slices.Contains(s.previous[:], incarnation):
		return Stale
	case s.incarnation == "":
		s.incarnation = incarnation
		return First
	}
	copy(s.previous[1:], s.previous[:])
	s.previous[0] = s.incarnation
	s.incarnation = incarnation
	return Replaced
}
