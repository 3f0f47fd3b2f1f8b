package masticquota

import (
	"slices"
	"time"
)

// waiter is a host whose need could not be granted yet. Needs are granted in queue order.
type waiter struct {
	host   string
	tokens int64
	until  time.Time
}

// requester is the state of a host that has sent requests.
type requester struct {
	incarnation   string
	lastRequestID uint64
	requestedAt   time.Time
}

// waiterGrace is how long after its RetryAfter a waiter keeps its place in the queue.
const waiterGrace = 100 * time.Millisecond

// tokensAhead returns the tokens that hosts ahead of host in the queue wait for. It removes
// expired waiters.
func (b *bucket) tokensAhead(now time.Time, host string) int64 {
	b.waiters = slices.DeleteFunc(b.waiters, func(w waiter) bool { return !now.Before(w.until) })
	var sum int64
	for _, w := range b.waiters {
		if w.host == host {
			break
		}
		sum += w.tokens
	}
	return sum
}

// tokensWaitedForByOthers returns the tokens that other hosts wait for.
func (b *bucket) tokensWaitedForByOthers(host string) int64 {
	var sum int64
	for _, w := range b.waiters {
		if w.host != host {
			sum += w.tokens
		}
	}
	return sum
}

func (b *bucket) enqueue(host string, tokens int64, until time.Time) {
	for i, w := range b.waiters {
		if w.host == host {
			b.waiters[i] = waiter{host: host, tokens: tokens, until: until}
			return
		}
	}
	b.waiters = append(b.waiters, waiter{host: host, tokens: tokens, until: until})
}

func (b *bucket) dequeue(host string) {
	b.waiters = slices.DeleteFunc(b.waiters, func(w waiter) bool { return w.host == host })
}

// recordRequest records r and reports whether it is newer than every request received from this
// incarnation.
func (b *bucket) recordRequest(now time.Time, r GrantRequest) bool {
	a, ok := b.requesters[r.Host]
	if ok && a.incarnation == r.Incarnation && r.ID <= a.lastRequestID {
		return false
	}
	b.requesters[r.Host] = requester{incarnation: r.Incarnation, lastRequestID: r.ID, requestedAt: now}
	return true
}

// activeHosts returns the number of hosts that sent a request within window, at least one.
func (b *bucket) activeHosts(now time.Time, window time.Duration) int64 {
	var n int64
	for _, a := range b.requesters {
		if now.Sub(a.requestedAt) < window {
			n++
		}
	}
	return max(1, n)
}
