package masticmeasure

import (
	"slices"
	"time"

	"masticladder/masticview"
)

// tally counts the work of a run from measuredFrom on.
type tally struct {
	// pool is one cache as large as all engines' together: what it misses no placement can avoid.
	pool *lru
	// prefix, computed and unavoidable are tokens of all levels but the last: sent,
	// computed by the engines, and missed by the pool.
	prefix, computed, unavoidable int64
}

func newTally(d deployment) *tally {
	return &tally{pool: newLRU(engineCacheTokens * int64(d.engines))}
}

// prefilled counts a prompt whose prefill has ended.
func (t *tally) prefilled(now time.Duration, j *job) {
	pieces := j.call.arrival.pieces
	cached := t.pool.prefix(pieces)
	t.pool.touch(pieces[:cached])
	measured := now >= measuredFrom
	last := j.call.arrival.prompt.Levels() - 1
	for i, p := range pieces {
		t.pool.add(p)
		if !measured || p.Level == last {
			continue
		}
		t.prefix += p.Tokens
		if i >= j.cached {
			t.computed += p.Tokens
		}
		if i >= cached {
			t.unavoidable += p.Tokens
		}
	}
	t.pool.touch(pieces)
}

const (
	// recoveryWindow is the span of arrivals that are compared with steady ones.
	recoveryWindow = 2 * time.Second
	// recoveryStep is the resolution of the time to recover.
	recoveryStep = 250 * time.Millisecond
	// recoveryPercent is how long a recovered wait may be, in percent of one without a fault.
	recoveryPercent = 125
)

// times are the waits for the first token of one group of requests, sorted.
type times []time.Duration

func (t times) quantile(percent int) time.Duration {
	if len(t) == 0 {
		return 0
	}
	return t[min(len(t)-1, len(t)*percent/100)]
}

func collect(calls []*call, use func(*call) bool) times {
	var out times
	for _, c := range calls {
		if c.firstTokenAt > 0 && use(c) {
			out = append(out, c.firstTokenAt-c.arrival.at)
		}
	}
	slices.Sort(out)
	return out
}

func measured(c *call) bool { return c.arrival.at >= measuredFrom }

func quick(c *call) bool { return c.arrival.class == masticview.ClassQuick }

// worstWindow returns the longest mean wait of a window of arrivals after faultAt.
func worstWindow(calls []*call) time.Duration {
	worst := time.Duration(0)
	for at := faultAt; at+recoveryWindow <= trafficUntil; at += recoveryStep {
		worst = max(worst, windowMean(calls, at))
	}
	return worst
}

// recovery returns the time after the fault from which the mean wait of each window
// of arrivals is at most 1.25 times limit, the longest one without a fault.
func recovery(calls []*call, limit time.Duration) time.Duration {
	last := time.Duration(0)
	for at := faultAt; at+recoveryWindow <= trafficUntil; at += recoveryStep {
		if windowMean(calls, at) > limit*recoveryPercent/100 {
			last = at + recoveryStep - faultAt
		}
	}
	return last
}

// windowMean returns the mean wait of the requests that came in one window.
func windowMean(calls []*call, from time.Duration) time.Duration {
	var sum, n time.Duration
	for _, c := range calls {
		if c.arrival.at < from || c.arrival.at >= from+recoveryWindow || c.firstTokenAt == 0 {
			continue
		}
		sum += c.firstTokenAt - c.arrival.at
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / n
}
