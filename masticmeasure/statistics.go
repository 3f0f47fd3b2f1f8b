package masticmeasure

import (
	"slices"
	"time"

	"masticladder/masticview"
)

// tokenCounts counts the prefix tokens of a run from measuredFrom on.
type tokenCounts struct {
	// sharedCache is one cache as large as all engines' together: tokens that miss it cannot be
	// saved by any placement.
	sharedCache *lru
	// prefix, computed and unavoidable count tokens of all levels but the last: sent,
	// computed by the engines, and missed by sharedCache.
	prefix, computed, unavoidable int64
}

func newTokenCounts(d deployment) *tokenCounts {
	return &tokenCounts{sharedCache: newLRU(engineCacheTokens * int64(d.engines))}
}

// addPrefill counts the tokens of a prompt whose prefill is complete.
func (t *tokenCounts) addPrefill(elapsed time.Duration, j *job) {
	pieces := j.call.arrival.pieces
	cached := t.sharedCache.prefix(pieces)
	t.sharedCache.touch(pieces[:cached])
	isMeasured := elapsed >= measuredFrom
	last := j.call.arrival.prompt.Levels() - 1
	for i, p := range pieces {
		t.sharedCache.add(p)
		if !isMeasured || p.Level == last {
			continue
		}
		t.prefix += p.Tokens
		if i >= j.cachedPieces {
			t.computed += p.Tokens
		}
		if i >= cached {
			t.unavoidable += p.Tokens
		}
	}
	t.sharedCache.touch(pieces)
}

const (
	// recoveryWindow is the length of the windows of arrivals whose mean is compared with the steady scenario.
	recoveryWindow = 2 * time.Second
	// recoveryStep is the resolution of the recovery time.
	recoveryStep = 250 * time.Millisecond
	// recoveryLimitPercent is the limit below which a window counts as recovered, in percent of
	// the worst window without a fault.
	recoveryLimitPercent = 125
)

// latencies are the sorted times to first token of a group of requests.
type latencies []time.Duration

func (t latencies) quantile(percent int) time.Duration {
	if len(t) == 0 {
		return 0
	}
	return t[min(len(t)-1, len(t)*percent/100)]
}

func sortedLatencies(calls []*call, include func(*call) bool) latencies {
	var out latencies
	for _, c := range calls {
		if c.firstTokenAt > 0 && include(c) {
			out = append(out, c.firstTokenAt-c.arrival.at)
		}
	}
	slices.Sort(out)
	return out
}

func isMeasured(c *call) bool { return c.arrival.at >= measuredFrom }

func isQuick(c *call) bool { return c.arrival.class == masticview.ClassQuick }

// worstWindowMean returns the longest mean time to first token of any window of arrivals
// from faultAt on.
func worstWindowMean(calls []*call) time.Duration {
	worst := time.Duration(0)
	for at := faultAt; at+recoveryWindow <= defaultTrafficEnd; at += recoveryStep {
		worst = max(worst, windowMean(calls, at))
	}
	return worst
}

// recoveryTime returns the time after the fault from which the mean time to first token of
// each window of arrivals is at most 1.25 times limit, the worst mean without a fault.
func recoveryTime(calls []*call, limit time.Duration) time.Duration {
	recovered := time.Duration(0)
	for at := faultAt; at+recoveryWindow <= defaultTrafficEnd; at += recoveryStep {
		if windowMean(calls, at) > limit*recoveryLimitPercent/100 {
			recovered = at + recoveryStep - faultAt
		}
	}
	return recovered
}

// windowMean returns the mean time to first token of the requests that arrived in the
// window starting at from, or zero for none.
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
