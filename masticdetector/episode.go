package masticdetector

import (
	"maps"
	"time"

	"masticladder/masticcall"
	"masticladder/masticview"
)

// Sign is what one observation of a backend server shows.
type Sign int

// The signs, from the weakest to the strongest.
const (
	// SignNone means that a connection was reset or that no answer came. By itself it proves nothing:
	// servers reset connections beyond their limit, and a host can be cut off.
	SignNone Sign = iota
	// SignAnswered means that the expected incarnation answered. It may still be about to end.
	SignAnswered
	// SignRefused means that no process listens at the address.
	SignRefused
	// SignReplaced means that another incarnation uses the address or the name.
	SignReplaced
)

// String returns the name that logs use.
func (s Sign) String() string {
	return [...]string{"none", "answered", "refused", "replaced"}[s]
}

const (
	// episodeWindow is the time after a failure within which a proof of an end is put down to it. Lists
	// of servers show the end of a server some seconds later.
	episodeWindow = 10 * time.Second
	// dyingTime is the longest time for which a server still answers while it ends.
	dyingTime = 3 * time.Second
	// lostWindow is the time for which a server without a sign of life is checked.
	lostWindow = 30 * time.Second
	// lostInterval is the time between two checks of a server without a sign of life, after those of
	// checkDelays.
	lostInterval = time.Second
	// maxRequests bounds the requests of one episode.
	maxRequests = 1024
)

// checkDelays are the times of the checks after a failure. A server that ends may answer, or take
// connections without answering, for a while after its first connections have broken.
var checkDelays = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second}

// episode is the time from the first failure of a backend server until it is known whether its
// incarnation has ended. It joins the signs of that time, and does no input or output.
type episode struct {
	server      masticview.Server
	incarnation string
	verdict     masticcall.Verdict
	// failedAt is the first failure since the server's last answer, lastFailureAt the last one.
	failedAt, lastFailureAt time.Time
	// endedAt is when the end was proved.
	endedAt time.Time
	// requests are those that may have caused the failure.
	requests map[masticview.Digest]failedRequest
	// active reports that a failure was more than a silence, so that the server is checked.
	active bool
	// checks counts the checks since checksFrom.
	checks     int
	checksFrom time.Time
}

// failedRequest is a request of an episode: when it was sent and when it failed.
type failedRequest struct{ sentAt, failedAt time.Time }

func newEpisode(server masticview.Server, incarnation string) *episode {
	return &episode{server: server, incarnation: incarnation, requests: map[masticview.Digest]failedRequest{}}
}

// fail records a request that was sent at sentAt and failed at now. A request that was sent after the
// server had failed, with no answer in between, is not the cause of that failure. It returns whether
// the checks begin again.
func (e *episode) fail(now, sentAt time.Time, d masticview.Digest, active bool) (reports []masticcall.ServerReport, restart bool) {
	if e.verdict == masticcall.VerdictAlive || e.failedAt.IsZero() {
		e.verdict, e.failedAt, e.active = masticcall.VerdictUnknown, now, false
	}
	e.lastFailureAt = now
	if active && !e.active {
		e.active, e.checks, e.checksFrom, restart = true, 0, now, true
	}
	if _, known := e.requests[d]; known || sentAt.After(e.failedAt) || len(e.requests) >= maxRequests {
		return nil, restart
	}
	e.requests[d] = failedRequest{sentAt: sentAt, failedAt: now}
	if e.verdict == masticcall.VerdictUnknown {
		return nil, restart
	}
	return []masticcall.ServerReport{e.report([]masticcall.FailedRequest{{Digest: d, SentAt: sentAt}})}, restart
}

// observe applies a sign that was seen at now. For an answer, sentAt is when the request to the server
// was sent.
func (e *episode) observe(now, sentAt time.Time, sign Sign) []masticcall.ServerReport {
	if e.verdict == masticcall.VerdictEnded || e.expired(now) {
		return nil
	}
	switch sign {
	case SignRefused, SignReplaced:
		if e.server.State == masticview.ServerLeaving {
			// The end of a server that is taken out of service is planned.
			clear(e.requests)
		}
		e.verdict, e.endedAt = masticcall.VerdictEnded, now
	case SignAnswered:
		if sentAt.Before(e.lastFailureAt) {
			return nil
		}
		wasLost := e.verdict == masticcall.VerdictLost
		e.verdict = masticcall.VerdictAlive
		e.forgetBefore(sentAt.Add(-dyingTime))
		if !wasLost {
			return nil
		}
		return []masticcall.ServerReport{e.report(nil)}
	default:
		if e.verdict != masticcall.VerdictUnknown || !e.active {
			return nil
		}
		e.verdict = masticcall.VerdictLost
	}
	if len(e.requests) == 0 {
		return nil
	}
	return []masticcall.ServerReport{e.report(e.all())}
}

// unlisted applies that the list of servers does not name the server any more. It returns whether the
// server is to be checked, since a list can leave out a server that lives.
func (e *episode) unlisted(now time.Time) (reports []masticcall.ServerReport, check bool) {
	if e.verdict == masticcall.VerdictLost {
		return e.observe(now, now, SignReplaced), false
	}
	return nil, e.verdict != masticcall.VerdictEnded && !e.expired(now)
}

func (e *episode) all() []masticcall.FailedRequest {
	out := make([]masticcall.FailedRequest, 0, len(e.requests))
	for d, q := range e.requests {
		out = append(out, masticcall.FailedRequest{Digest: d, SentAt: q.sentAt})
	}
	return out
}

// forgetBefore removes the requests that failed before t: the server has lived on without them.
func (e *episode) forgetBefore(t time.Time) {
	maps.DeleteFunc(e.requests, func(_ masticview.Digest, q failedRequest) bool { return q.failedAt.Before(t) })
}

func (e *episode) report(requests []masticcall.FailedRequest) masticcall.ServerReport {
	return masticcall.ServerReport{
		Server: e.server.Name, Incarnation: e.incarnation, Verdict: e.verdict, FailedAt: e.failedAt, Requests: requests,
	}
}

// countCheck counts a check that began at sentAt.
func (e *episode) countCheck(sentAt time.Time) {
	if !sentAt.Before(e.checksFrom) {
		e.checks++
	}
}

// nextCheck returns when the server is to be checked next, and false if it is not.
func (e *episode) nextCheck() (time.Time, bool) {
	if e.scheduleEnded() {
		return time.Time{}, false
	}
	if e.checks < len(checkDelays) {
		return e.checksFrom.Add(checkDelays[e.checks]), true
	}
	return e.checksFrom.Add(checkDelays[len(checkDelays)-1] + time.Duration(e.checks-len(checkDelays)+1)*lostInterval), true
}

// scheduleEnded reports whether no check is due any more: the end is proved, or the server has
// answered and is not about to end, or it is lost for too long.
func (e *episode) scheduleEnded() bool {
	switch {
	case !e.active || e.verdict == masticcall.VerdictEnded:
		return true
	case e.checks < len(checkDelays):
		return false
	case e.verdict == masticcall.VerdictAlive:
		return true
	}
	return checkDelays[len(checkDelays)-1]+time.Duration(e.checks-len(checkDelays)+1)*lostInterval > lostWindow
}

// expired reports whether a sign at now says nothing of the failure any more.
func (e *episode) expired(now time.Time) bool {
	window := episodeWindow
	if e.verdict == masticcall.VerdictLost {
		window = lostWindow
	}
	return now.Sub(e.lastFailureAt) > window
}

// succeeded reports whether a request that was sent at sentAt belongs to a later run of the server than
// the one whose end was proved.
func (e *episode) succeeded(sentAt time.Time) bool {
	return e.verdict == masticcall.VerdictEnded && sentAt.After(e.endedAt)
}
