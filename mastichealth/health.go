// Package mastichealth judges from errors and probes whether backend servers may get work.
package mastichealth

import (
	"slices"
	"time"
)

const (
	// firstPause is how long a backend server gets no work after its first error.
	firstPause = 500 * time.Millisecond
	// maxPause is the longest pause after repeated errors.
	maxPause = 8 * time.Second
	// slowStartSpan is how long a returned backend server gets less than its full share.
	slowStartSpan = 3 * time.Second
	// minShare is the share at the beginning of a slow start.
	minShare = 0.1
	// formerKept is the number of replaced incarnations that are recognised.
	formerKept = 8
)

// Server is the health of one backend server. The zero Server is healthy.
type Server struct {
	incarnation string
	// former are the incarnations replaced last, the newest first.
	former   [formerKept]string
	failures int
	// downUntil is the deadline of the pause after an error.
	downUntil time.Time
	// fullFrom is the end of the slow start.
	fullFrom time.Time
	// probing reports that one success is awaited before the slow start begins.
	probing bool
	// answering reports that the last failure was an answer, so that a probe says nothing.
	answering bool
}

// Incarnation returns the last incarnation that the backend server named.
func (s *Server) Incarnation() string { return s.incarnation }

// Usable reports whether the backend server may get work at now.
func (s *Server) Usable(now time.Time) bool { return !now.Before(s.downUntil) }

// Probing reports that the pause is over but no success has been seen since;
// such a backend server gets one request at a time.
func (s *Server) Probing() bool { return s.probing }

// Share returns the part of a healthy backend server's load that it may get, 0 to 1.
func (s *Server) Share(now time.Time) float64 {
	if !s.Usable(now) {
		return 0
	}
	if s.probing {
		return minShare
	}
	left := s.fullFrom.Sub(now)
	if left <= 0 {
		return 1
	}
	return max(minShare, 1-float64(left)/float64(slowStartSpan))
}

// Break records a connection error, reset or failed probe.
func (s *Server) Break(now time.Time) { s.fail(now, false) }

// Fail records an answer that failed, although the backend server can be reached.
func (s *Server) Fail(now time.Time) { s.fail(now, true) }

func (s *Server) fail(now time.Time, answering bool) {
	s.answering = answering
	if s.failures > 0 && now.Before(s.downUntil) {
		return
	}
	pause := min(firstPause<<min(s.failures, 10), maxPause)
	s.failures++
	s.downUntil = now.Add(pause)
	s.probing = true
}

// Confirm records a successful probe. It ends the pause after a connection error; after
// failed answers only an answer does.
func (s *Server) Confirm(now time.Time) {
	if !s.answering {
		s.Succeed(now)
	}
}

// Succeed records an answer.
func (s *Server) Succeed(now time.Time) {
	if s.failures == 0 {
		return
	}
	s.failures = 0
	s.probing = false
	s.downUntil = time.Time{}
	s.fullFrom = now.Add(slowStartSpan)
}

// Change says what a named incarnation is to a backend server.
type Change int

// The changes of an incarnation.
const (
	// Same holds for the current incarnation and for none named.
	Same Change = iota
	// First holds for the first incarnation ever named.
	First
	// Replaced holds for a new incarnation: everything known of the old one is void.
	Replaced
	// Stale holds for an incarnation that another one has replaced.
	Stale
)

// Incarnate records the incarnation that the backend server named.
func (s *Server) Incarnate(incarnation string) Change {
	switch {
	case incarnation == "" || incarnation == s.incarnation:
		return Same
	case slices.Contains(s.former[:], incarnation):
		return Stale
	case s.incarnation == "":
		s.incarnation = incarnation
		return First
	}
	copy(s.former[1:], s.former[:])
	s.former[0] = s.incarnation
	s.incarnation = incarnation
	return Replaced
}
