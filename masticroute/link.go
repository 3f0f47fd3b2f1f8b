package masticroute

import "time"

const (
	// crossZoneFactor is how many times as long a transfer from another availability zone takes.
	crossZoneFactor = 2
	// fetchSetupDelay is the time of a fetch besides its transfer.
	fetchSetupDelay = 5 * time.Millisecond
	// maxTransferWait is the wait for a link above which a server does not begin a transfer.
	maxTransferWait = 2 * time.Second
)

// link is the network link of an engine or a store, with the transfers that are known to use it.
type link struct {
	// busyUntil is when the transfers assigned so far are predicted to be complete.
	busyUntil time.Time
}

// wait returns the predicted time until the link is free.
func (l *link) wait(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	return max(0, l.busyUntil.Sub(now))
}

// assign adds a transfer of tokens at a rate in tokens per second, and returns when it is complete. It
// reports false for a transfer that is not begun because the link is busy for too long.
func (l *link) assign(now time.Time, tokens, rate float64) (time.Time, bool) {
	if l.wait(now) > maxTransferWait {
		return time.Time{}, false
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	if rate > 0 {
		l.busyUntil = l.busyUntil.Add(seconds(tokens / rate))
	}
	return l.busyUntil, true
}

// linkOf returns the link of the server at an address, an IP:port. Links that have been idle are removed
// when there are many.
func (r *Router) linkOf(now time.Time, address string) *link {
	l, ok := r.links[address]
	if ok {
		return l
	}
	if r.links == nil {
		r.links = map[string]*link{}
	}
	if len(r.links) >= maxLinks {
		for a, l := range r.links {
			if l.wait(now) == 0 {
				delete(r.links, a)
			}
		}
	}
	l = &link{}
	r.links[address] = l
	return l
}

// maxLinks is the number of links above which idle ones are removed.
const maxLinks = 1 << 12

// storeRate returns the rate of the link of a store in tokens per second: that in the document, or else
// that of the fastest engines.
func (r *Router) storeRate(address string) float64 {
	if rate := r.storeRates[address]; rate > 0 {
		return rate
	}
	return r.maxEngineRate()
}

// rateOf returns the rate of the link at an address, zero if it is not known.
func (r *Router) rateOf(address string) float64 {
	for _, s := range r.stores {
		if s.address == address {
			return r.storeRate(address)
		}
	}
	// All engines of a pool have the same links, and an engine fetches from its own pool.
	return r.maxEngineRate()
}

func (r *Router) maxEngineRate() float64 {
	rate := 0.0
	for _, s := range r.transferSpeeds {
		rate = max(rate, s)
	}
	return rate
}

// assignFetch adds a fetch from the server at an address to its link.
func (r *Router) assignFetch(now time.Time, address string, tokens float64) {
	if address != "" && tokens > 0 {
		r.linkOf(now, address).assign(now, tokens, r.rateOf(address))
	}
}
