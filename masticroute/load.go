package masticroute

import (
	"slices"
	"time"
)

const (
	// priorSpeed is the prefill speed assumed before any is measured, in tokens per second.
	priorSpeed = 10000.0
	// fasterGain, idleGain and busyGain are the weights of a sample of the prefill speed
	// that is above the speed so far, below it on an idle backend server, or below it
	// on a busy one.
	fasterGain = 0.5
	idleGain   = 0.1
	busyGain   = 0.01
	// minSample is the least work that measures a prefill speed, in tokens.
	minSample = 2000
	// historyLength bounds the remembered changes of the own work on a backend server.
	historyLength = 256
	// overdueFactor is how many times its predicted wait a request takes before it lowers
	// the speed that is reckoned with.
	overdueFactor = 2
	// minOverdue is the least age of a request that lowers the speed.
	minOverdue = time.Second
	// reportAge is how long a load report is worth anything.
	reportAge = 5 * time.Second
)

// Report is a load report of a backend server.
type Report struct {
	Server      string
	Incarnation string
	// AsOf is when the load was as reported, by this host's clock.
	AsOf time.Time
	// QueuedTokens is the work before the first token of everything waiting, in tokens.
	QueuedTokens int64
	// Running is the number of requests that hold a decode slot, Slots how many can.
	Running, Slots int64
}

// change is the own work on a backend server from a time on.
type change struct {
	at      time.Time
	tokens  float64
	running int
}

// load is what a router knows of the work on one backend server.
type load struct {
	// speed is the measured prefill speed, in tokens per second; zero is unknown.
	speed float64
	// own is the uncached tokens of own requests without a first token.
	own float64
	// ownUrgent is the part of own that belongs to the quick class.
	ownUrgent float64
	// held is the memory of own running requests, in tokens.
	held float64
	// peers is the work of other hosts that tell of it.
	peers map[string]peerLoad
	// running counts own requests until they are done.
	running int
	// waiting counts own requests without a first token.
	waiting int
	// history holds own work by time, the oldest first.
	history []change
	// drain is how fast the reported queue shrinks.
	drain drain
	// pending are the own requests without a first token, the oldest first.
	pending []pending
	report  Report
	// others is the work of other hosts at the time of the report.
	others float64
	// othersRunning is the number of other hosts' requests at the time of the report.
	othersRunning int64
}

func (l *load) remember(now time.Time) {
	if len(l.history) == historyLength {
		copy(l.history, l.history[1:])
		l.history = l.history[:historyLength-1]
	}
	l.history = append(l.history, change{now, l.own, l.running})
}

// at returns the own work at time t.
func (l *load) at(t time.Time) change {
	var last change
	for _, c := range l.history {
		if c.at.After(t) {
			break
		}
		last = c
	}
	return last
}

func (l *load) add(now time.Time, w *Work) {
	l.own += w.Uncached
	if w.urgent() {
		l.ownUrgent += w.Uncached
	}
	l.pending = append(l.pending, pending{now, w.Uncached + w.Ahead})
	l.held += float64(w.Tokens)
	l.running++
	l.waiting++
	l.remember(now)
}

func (l *load) firstToken(now time.Time, w *Work) {
	l.own = max(0, l.own-w.Uncached)
	if w.urgent() {
		l.ownUrgent = max(0, l.ownUrgent-w.Uncached)
	}
	l.settle(w.StartedAt)
	l.waiting--
	l.remember(now)
}

func (l *load) done(now time.Time, w *Work) {
	l.held = max(0, l.held-float64(w.Tokens))
	l.running--
	l.remember(now)
}

// take replaces the report; the own work of its time is taken off, so that what is
// left is the work of other hosts.
func (l *load) take(r Report) {
	if r.AsOf.Before(l.report.AsOf) {
		return
	}
	own := l.at(r.AsOf)
	l.drain.observe(l.report, r)
	l.report = r
	l.others = max(0, float64(r.QueuedTokens)-own.tokens)
	l.othersRunning = max(0, r.Running-int64(own.running))
}

// othersNow returns the work of other hosts, less what was done since the report.
func (l *load) othersNow(now time.Time) float64 {
	age := now.Sub(l.report.AsOf)
	if l.report.AsOf.IsZero() || age > reportAge {
		return 0
	}
	return l.others
}

// measure learns the prefill speed from a request that computed tokens in the time
// elapsed. Other work can only lengthen that time, so a sample bounds the speed from
// below; a slower one counts fully only when the backend server was idle before.
func (l *load) measure(tokens float64, elapsed time.Duration, idle bool) {
	if tokens < minSample || elapsed <= 0 {
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

// forget drops what was reported by a former incarnation.
func (l *load) forget() {
	l.report = Report{Slots: l.report.Slots}
	l.others = 0
	l.othersRunning = 0
}

// pending is an own request without a first token.
type pending struct {
	startedAt time.Time
	// tokens is the work up to its first token, that of others before it included.
	tokens float64
}

// settle removes the pending request that started at t.
func (l *load) settle(t time.Time) {
	i := slices.IndexFunc(l.pending, func(p pending) bool { return p.startedAt.Equal(t) })
	if i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
}

// bound returns speed, or less where the oldest pending request that measures a speed is
// overdue at it. One of less work than minSample measures none: its wait is a latency, and
// as a speed it would be some tokens a second.
func (l *load) bound(now time.Time, speed float64) float64 {
	for _, p := range l.pending {
		elapsed := now.Sub(p.startedAt)
		if elapsed < minOverdue {
			return speed
		}
		if p.tokens >= minSample {
			return min(speed, overdueFactor*p.tokens/elapsed.Seconds())
		}
	}
	return speed
}
