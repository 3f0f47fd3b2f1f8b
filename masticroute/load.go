package masticroute

import (
	"slices"
	"time"
)

const (
	// defaultSpeed is the prefill speed assumed before any is measured, in tokens per second.
	defaultSpeed = 10000.0
	// fasterGain, idleGain and busyGain are the weights of a prefill speed sample that is above
	// the current estimate, below it on an idle backend server, or below it on a busy one.
	fasterGain = 0.5
	idleGain   = 0.1
	busyGain   = 0.01
	// minSampleTokens is the least work from which a prefill speed is measured, in tokens.
	minSampleTokens = 2000
	// maxHistory bounds the recorded changes of this host's work on a backend server.
	maxHistory = 256
	// overdueFactor is the multiple of its predicted wait after which a request lowers the
	// assumed speed.
	overdueFactor = 2
	// minOverdueAge is the least age of a request that lowers the assumed speed.
	minOverdueAge = time.Second
	// reportTTL is how long a load report is used.
	reportTTL = 5 * time.Second
)

// LoadReport is a load report of a backend server.
type LoadReport struct {
	Server      string
	Incarnation string
	// AsOf is the time at which the reported load was measured, by this host's clock.
	AsOf time.Time
	// QueuedTokens is the prefill work of all waiting requests, in tokens.
	QueuedTokens int64
	// Running is the number of requests that hold a decode slot, Slots the number of decode slots.
	Running, Slots int64
}

// ownLoad is this host's work on a backend server from a point in time on.
type ownLoad struct {
	at      time.Time
	tokens  float64
	running int
}

// load is the known work on one backend server.
type load struct {
	// speed is the measured prefill speed in tokens per second, zero if unknown.
	speed float64
	// ownTokens is the number of uncached tokens of this host's requests before their first
	// token.
	ownTokens float64
	// ownQuickTokens is the part of ownTokens that belongs to the quick class.
	ownQuickTokens float64
	// heldTokens is the engine memory of this host's running requests, in tokens.
	heldTokens float64
	// peers is the work of other hosts by host name, as they report it.
	peers map[string]peerLoad
	// running counts this host's requests until they are done.
	running int
	// waiting counts this host's requests before their first token.
	waiting int
	// history holds the changes of this host's work, the oldest first.
	history []ownLoad
	// drainRate estimates the speed from the reported queue.
	drainRate drainRate
	// pending are this host's requests before their first token, the oldest first.
	pending []pendingRequest
	report  LoadReport
	// othersTokens is the queued work of other hosts at the time of the report, in tokens.
	othersTokens float64
	// othersRunning is the number of other hosts' running requests at the time of the report.
	othersRunning int64
}

func (l *load) recordHistory(now time.Time) {
	if len(l.history) == maxHistory {
		copy(l.history, l.history[1:])
		l.history = l.history[:maxHistory-1]
	}
	l.history = append(l.history, ownLoad{now, l.ownTokens, l.running})
}

// ownAt returns this host's work at time t.
func (l *load) ownAt(t time.Time) ownLoad {
	var last ownLoad
	for _, h := range l.history {
		if h.at.After(t) {
			break
		}
		last = h
	}
	return last
}

func (l *load) add(now time.Time, w *Work) {
	l.ownTokens += w.Uncached
	if w.isQuick() {
		l.ownQuickTokens += w.Uncached
	}
	l.pending = append(l.pending, pendingRequest{now, w.Uncached + w.Ahead})
	l.heldTokens += w.Held
	l.running++
	l.waiting++
	l.recordHistory(now)
}

func (l *load) firstToken(now time.Time, w *Work) {
	l.ownTokens = max(0, l.ownTokens-w.Uncached)
	if w.isQuick() {
		l.ownQuickTokens = max(0, l.ownQuickTokens-w.Uncached)
	}
	l.removePending(w.StartedAt)
	l.waiting--
	l.recordHistory(now)
}

func (l *load) done(now time.Time, w *Work) {
	l.heldTokens = max(0, l.heldTokens-w.Held)
	l.running--
	l.recordHistory(now)
}

// applyReport replaces the report unless r is older. It subtracts this host's work at the time
// of the report, so that the rest is the work of other hosts.
func (l *load) applyReport(r LoadReport) {
	if r.AsOf.Before(l.report.AsOf) {
		return
	}
	own := l.ownAt(r.AsOf)
	l.drainRate.observe(l.report, r)
	l.report = r
	l.othersTokens = max(0, float64(r.QueuedTokens)-own.tokens)
	l.othersRunning = max(0, r.Running-int64(own.running))
}

// reportedOthersTokens returns the queued work of other hosts at the time of the report, in tokens,
// or zero if there is no report younger than reportTTL.
func (l *load) reportedOthersTokens(now time.Time) float64 {
	age := now.Sub(l.report.AsOf)
	if l.report.AsOf.IsZero() || age > reportTTL {
		return 0
	}
	return l.othersTokens
}

// updateSpeed updates the prefill speed from a request that computed tokens in the time elapsed.
// Other work can only lengthen that time, so a sample is a lower bound of the speed; a slower
// sample gets its larger weight only when the backend server was idle before.
func (l *load) updateSpeed(tokens float64, elapsed time.Duration, idle bool) {
	if tokens < minSampleTokens || elapsed <= 0 {
		return
	}
	sample := tokens / elapsed.Seconds()
	gain := busyGain
	switch {
	case l.speed == 0:
		gain = 1
	case sample > l.speed:
		gain = fasterGain
	case idle:
		gain = idleGain
	}
	l.speed += gain * (sample - l.speed)
}

// resetReport drops the load reported by a former incarnation; the number of slots stays.
func (l *load) resetReport() {
	l.report = LoadReport{Slots: l.report.Slots}
	l.othersTokens = 0
	l.othersRunning = 0
}

// pendingRequest is a request of this host before its first token.
type pendingRequest struct {
	startedAt time.Time
	// tokens is the work up to its first token, including the work of others ahead of it.
	tokens float64
}

// removePending removes the pending request that started at t.
func (l *load) removePending(t time.Time) {
	i := slices.IndexFunc(l.pending, func(p pendingRequest) bool { return p.startedAt.Equal(t) })
	if i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
}

// limitSpeed returns speed, or a lower value if, at that speed, the oldest pending request with at
// least minSampleTokens would be overdue. A smaller request measures no speed: its wait is a
// latency, and as a speed it would be a few tokens per second.
func (l *load) limitSpeed(now time.Time, speed float64) float64 {
	for _, p := range l.pending {
		elapsed := now.Sub(p.startedAt)
		if elapsed < minOverdueAge {
			return speed
		}
		if p.tokens >= minSampleTokens {
			return min(speed, overdueFactor*p.tokens/elapsed.Seconds())
		}
	}
	return speed
}
