package masticwire

import "time"

const (
	// maxUnansweredCalls is the number of calls without an answer, and silenceTimeout the time from the start of
	// the first of them without any byte from the other host, after which a connection counts as dead. A host
	// that is short of processor time answers late, and closing its connection would lose its answers to
	// other calls.
	maxUnansweredCalls = 3
	silenceTimeout     = time.Second
)

// silence is what is known of a connection on which calls got no answer. It is immutable.
type silence struct {
	// since is when the first of the unanswered calls was started.
	since      time.Time
	unanswered int
}

// withUnanswered returns s after a call that was started at startedAt and got no answer until now; arrivedAt is
// when anything arrived last. It reports whether the connection counts as dead.
func (s silence) withUnanswered(now, startedAt, arrivedAt time.Time) (silence, bool) {
	if arrivedAt.After(startedAt) {
		return silence{}, false
	}
	if s.unanswered == 0 || arrivedAt.After(s.since) || startedAt.Before(s.since) {
		s.since = startedAt
	}
	s.unanswered++
	return s, s.unanswered >= maxUnansweredCalls && now.Sub(s.since) >= silenceTimeout
}
