package masticbucket

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// throttleFactor is how many requests of a workspace are put to the keepers for each that is admitted. The others are
	// refused without a question while the workspace stays over its rate. With 2, half of the questions are
	// refusals, so that a rise of what keepers give out is noticed at once.
	throttleFactor = 2
	// throttleHalfLife is the time in which requests and admissions count for half.
	throttleHalfLife = 250 * time.Millisecond
	// maxThrottled bounds the workspaces that are counted.
	maxThrottled = 1 << 12
	// overloadReturnTime is the time over which the returns of requests are spread while the workspace stays over its rate.
	overloadReturnTime = time.Second
)

// throttles count what keepers decided on the requests of this host. A workspace over its rate otherwise has a question
// for each of its requests, and the questions keep the keepers from answering others.
type throttles struct {
	mutex  sync.Mutex
	counts map[throttleKey]*throttle
	// random returns numbers from 0 to 1, as rand.Float64 does.
	random func() float64
}

// throttleKey is a workspace and the number of bits of a request's tokens: keepers that have no tokens for a long request
// may have some for a short one.
type throttleKey struct {
	workspace string
	sizeBits  int
}

func throttleKeyOf(workspace string, tokens int64) throttleKey {
	return throttleKey{workspace, bits.Len64(uint64(tokens))}
}

// throttle holds decaying counts as of at.
type throttle struct {
	requests, admitted float64
	at                 time.Time
}

func newThrottles() *throttles {
	return &throttles{counts: map[throttleKey]*throttle{}, random: rand.Float64}
}

func (t *throttle) decay(now time.Time) {
	passed := now.Sub(t.at)
	if passed <= 0 {
		return
	}
	factor := math.Exp2(-float64(passed) / float64(throttleHalfLife))
	t.requests, t.admitted, t.at = t.requests*factor, t.admitted*factor, now
}

// refuses returns the probability with which a request is refused without a question.
func (t *throttle) refuses() float64 {
	return max(0, (t.requests-throttleFactor*t.admitted-1)/(t.requests+1))
}

// refusesNow reports whether a request is refused without a question.
func (x *throttles) refusesNow(now time.Time, k throttleKey) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	refuses := x.of(now, k).refuses()
	return refuses > 0 && x.random() < refuses
}

// record counts a request that was admitted, or refused for the rate.
func (x *throttles) record(now time.Time, k throttleKey, admitted bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	t := x.of(now, k)
	t.requests++
	if admitted {
		t.admitted++
	}
}

// returnDelay returns the time after which a refused request may come back: when the tokens are there, and later
// the more of the workspace's requests are refused.
func (x *throttles) returnDelay(now time.Time, k throttleKey, delay time.Duration) time.Duration {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return delay + time.Duration(x.random()*x.of(now, k).refuses()*float64(overloadReturnTime))
}

// of returns the counts of k at now. The caller holds the mutex.
func (x *throttles) of(now time.Time, k throttleKey) *throttle {
	t, ok := x.counts[k]
	if !ok {
		if len(x.counts) >= maxThrottled {
			clear(x.counts)
		}
		t = &throttle{at: now}
		x.counts[k] = t
	}
	t.decay(now)
	return t
}
