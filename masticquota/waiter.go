package masticquota

import (
	"slices"
	"time"
)

// waiter is a host whose need could not be granted yet. Needs are met in their order.
type waiter struct {
	host   string
	tokens int64
	until  time.Time
}

// asker is what is kept of a host that asked.
type asker struct {
	incarnation string
	lastID      uint64
	at          time.Time
}

// waitSlack is for how long after its time to come back a waiter keeps its place.
const waitSlack = 100 * time.Millisecond

// ahead returns the tokens that hosts before host wait for.
func (b *bucket) ahead(now time.Time, host string) int64 {
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

// queued returns the tokens that other hosts wait for.
func (b *bucket) queued(host string) int64 {
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

// fresh notes a request and reports whether it is neither repeated nor overtaken.
func (b *bucket) fresh(now time.Time, r GrantRequest) bool {
	a, ok := b.hosts[r.Host]
	if ok && a.incarnation == r.Incarnation && r.ID <= a.lastID {
		return false
	}
	b.hosts[r.Host] = asker{incarnation: r.Incarnation, lastID: r.ID, at: now}
	return true
}

// active returns the number of hosts that asked within d, at least one.
func (b *bucket) active(now time.Time, d time.Duration) int64 {
	var n int64
	for _, a := range b.hosts {
		if now.Sub(a.at) < d {
			n++
		}
	}
	return max(1, n)
}
