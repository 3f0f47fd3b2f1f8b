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

// proof reports whether s proves the end of the server.
func (s Sign) proof() bool { return s == SignRefused || s == SignReplaced }

// String returns the name that logs use.
func (s Sign) String() string {
	return [...]string{"none", "answered", "refused", "replaced"}[s]
}

const (
	// episodeWindow is the time after a failure within which a proof of an end is put down to it. Lists
	// of servers show the end of a server some seconds later.
	episodeWindow = 10 * time.Second
	// lostDelay is the time after a failure from which a server that gives no answer is lost. A server
	// that resets connections beyond its limit answers others within it.
	lostDelay = 100 * time.Millisecond
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
var checkDelays = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond}

// episode is the time from the first failure of a backend server until it is known whether its
// incarnation has ended. It joins the signs of that time, and does no input or output.
type episode struct {
	server      masticview.Server
	incarnation string
	verdict     masticcall.Verdict
	// failedAt is the first failure since the server's last answer, lastFailureAt the last one.
	failedAt, lastFailureAt time.Time
	// endedAt is when the end was proved. It is planned if the server is taken out of service, so that no
	// request is the cause.
	endedAt time.Time
	planned bool
	// requests are those that may have caused the failure.
	requests map[masticview.Digest]failedRequest
	// active reports that a failure was more than a silence, so that the server is checked.
	active bool
	// checks counts the checks since checksFrom.
	checks     int
	checksFrom time.Time
}

// failedRequest is a request of an episode, and when it failed. An abandoned one was given up by this host
// or its caller, so that its failure is no sign of the server's.
type failedRequest struct {
	masticcall.FailedRequest
	failedAt  time.Time
	abandoned bool
}

func newEpisode(server masticview.Server, incarnation string) *episode {
	return &episode{server: server, incarnation: incarnation, requests: map[masticview.Digest]failedRequest{}}
}

// fail applies that a request failed at now, after which nothing is known of the server until the next
// sign. It returns whether the checks begin again, if the server is to be checked.
func (e *episode) fail(now time.Time, checked bool) (restart bool) {
	isFirst := e.verdict == masticcall.VerdictAlive || e.failedAt.IsZero()
	if isFirst {
		e.verdict, e.failedAt = masticcall.VerdictUnknown, now
	}
	e.lastFailureAt = now
	if !checked || e.active && !isFirst {
		return false
	}
	e.active, e.checks, e.checksFrom = true, 0, now
	return true
}

// blame records that q failed at now. A request that was sent after the server had failed, with no answer
// in between, is not the cause of that failure.
func (e *episode) blame(now time.Time, q masticcall.FailedRequest, abandoned bool) []masticcall.ServerReport {
	if !e.add(now, q, abandoned) || e.verdict == masticcall.VerdictUnknown {
		return nil
	}
	return []masticcall.ServerReport{e.report([]masticcall.FailedRequest{q})}
}

// add adds a request to those that may have caused the failure, unless it cannot have. It reports whether
// it is a new one.
func (e *episode) add(now time.Time, q masticcall.FailedRequest, abandoned bool) bool {
	if _, known := e.requests[q.Content.Digest]; known || e.planned || q.SentAt.After(e.failedAt) || len(e.requests) >= maxRequests {
		return false
	}
	e.requests[q.Content.Digest] = failedRequest{FailedRequest: q, failedAt: now, abandoned: abandoned}
	return true
}

// observe applies a sign that was seen at now. seenAt is the time of which it tells: a server that
// answers was alive then.
func (e *episode) observe(now, seenAt time.Time, sign Sign) []masticcall.ServerReport {
	if e.verdict == masticcall.VerdictEnded || e.expired(now) {
		return nil
	}
	switch sign {
	case SignRefused, SignReplaced:
		if e.server.State == masticview.ServerLeaving {
			e.planned = true
			clear(e.requests)
		}
		e.verdict, e.endedAt = masticcall.VerdictEnded, now
	case SignAnswered:
		return e.answered(seenAt)
	default:
		if e.verdict != masticcall.VerdictUnknown || !e.active || now.Sub(e.failedAt) < lostDelay {
			return nil
		}
		e.verdict = masticcall.VerdictLost
	}
	if len(e.requests) == 0 {
		return nil
	}
	return []masticcall.ServerReport{e.report(e.all())}
}

// answered applies that the server was alive at aliveAt.
func (e *episode) answered(aliveAt time.Time) []masticcall.ServerReport {
	if aliveAt.Before(e.failedAt) {
		return nil
	}
	wasLost := e.verdict == masticcall.VerdictLost
	e.verdict = masticcall.VerdictAlive
	report := e.report(nil)
	maps.DeleteFunc(e.requests, func(_ masticview.Digest, q failedRequest) bool {
		return q.abandoned && !q.failedAt.After(aliveAt) || q.failedAt.Before(aliveAt.Add(-dyingTime))
	})
	if e.lastFailureAt.After(aliveAt) {
		e.verdict, e.failedAt = masticcall.VerdictUnknown, e.firstFailureAfter(aliveAt)
	}
	if !wasLost {
		return nil
	}
	return []masticcall.ServerReport{report}
}

// firstFailureAfter returns when the server failed first after t.
func (e *episode) firstFailureAfter(t time.Time) time.Time {
	first := e.lastFailureAt
	for _, q := range e.requests {
		if q.failedAt.After(t) && q.failedAt.Before(first) {
			first = q.failedAt
		}
	}
	return first
}

func (e *episode) all() []masticcall.FailedRequest {
	out := make([]masticcall.FailedRequest, 0, len(e.requests))
	for _, q := range e.requests {
		out = append(out, q.FailedRequest)
	}
	return out
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
