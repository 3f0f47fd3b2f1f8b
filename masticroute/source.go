package masticroute

import (
	"time"

	"masticladder/masticcache"
	"masticladder/masticview"
)

const (
	// minFetchTokens is the least gain of a fetch, in tokens: each fetch costs some milliseconds.
	minFetchTokens = 1000
	// maxSources bounds the sources that are compared for one decision.
	maxSources = 8
	// sourceSpread is the time within which sources count as equally fast. One of them is taken at
	// random, so that hosts that decide at the same time do not all fetch from one engine.
	sourceSpread = 4 * time.Millisecond
	// maxHold bounds the time for which a request waits at its host until an engine has read its prefix.
	maxHold = time.Second
	// overdueHold is the time after which a prefix is expected whose predicted time has passed.
	overdueHold = 30 * time.Millisecond
)

// fetchSource is an engine or a store from which engines can fetch the prefix of a prompt.
type fetchSource struct {
	address, zone string
	store         bool
	// tokens is the expected length of the prefix that it has, or that it has once readyIn has passed.
	tokens  float64
	readyIn time.Duration
	// rate is the rate of its link in tokens per second, queue the predicted time until that is free.
	rate  float64
	queue time.Duration
	// jitter is a random time below sourceSpread.
	jitter time.Duration
}

// addSource adds a source for each state of the prefix that a server has: what it has, and what it will
// have once its reading has ended.
func (e *poolEvaluation) addSource(s fetchSource, p masticcache.Presence) {
	e.maxCachedTokens = max(e.maxCachedTokens, p.Tokens)
	r := e.router
	s.queue = r.links[s.address].wait(e.now)
	if s.queue > maxTransferWait {
		return
	}
	s.jitter = time.Duration(r.random.Int64N(int64(sourceSpread)))
	if p.Complete > minFetchTokens && len(r.sources) < maxSources {
		s.tokens = p.Complete
		r.sources = append(r.sources, s)
	}
	if p.Tokens > p.Complete+minFetchTokens && len(r.sources) < maxSources {
		s.tokens, s.readyIn = p.Tokens, timeLeft(e.now, p)
		r.sources = append(r.sources, s)
	}
}

// timeLeft returns the predicted time until a server has read all of a prefix.
func timeLeft(now time.Time, p masticcache.Presence) time.Duration {
	if p.ExpectedAt.IsZero() {
		return 0
	}
	return max(overdueHold, p.ExpectedAt.Sub(now))
}

// addSources finds the sources of the prompt: its home store and the engines that have or read part of it.
func (e *poolEvaluation) addSources() {
	r := e.router
	r.sources = r.sources[:0]
	if s, ok := r.homeStore(e.now, e.pieces); ok {
		stored := r.lookup.Presence(e.now, s.slot)
		// The store is named as source also if it is not expected to have any of the prompt: a miss
		// costs an engine a millisecond.
		e.defaultSource = s.address
		e.addSource(fetchSource{address: s.address, zone: s.zone, store: true, rate: r.storeRate(s.address)}, stored)
		if stored.Tokens < sharedTokens(e.pieces)-minFetchTokens && r.links[s.address].wait(e.now) <= maxTransferWait {
			e.saveTo = s.address
		}
	}
	var last masticcache.Slot = -1
	r.lookup.Holders(func(slot masticcache.Slot) bool {
		s := r.servers[slot]
		if slot == last || !s.active || s.info.Kind != masticview.ServerEngine || e.hasSource(s.info.Address()) {
			return true
		}
		last = slot
		p := r.lookup.Presence(e.now, slot)
		e.maxCachedTokens = max(e.maxCachedTokens, p.Tokens)
		if s.usable(e.now) {
			e.addSource(fetchSource{address: s.info.Address(), zone: s.info.Zone, rate: r.transferSpeeds[s.info.Service]}, p)
		}
		return len(r.sources) < maxSources
	})
}

func (e *poolEvaluation) hasSource(address string) bool {
	for _, s := range e.router.sources {
		if s.address == address {
			return true
		}
	}
	return false
}

// fetchPlan is how an engine gets the prefix that it lacks.
type fetchPlan struct {
	address string
	store   bool
	// tokens is the number of tokens that are fetched, cached the length of the prefix afterwards.
	tokens, cached float64
	// readyIn is the time until the source has them, transfer that of the fetch from then on.
	readyIn, transfer time.Duration
}

// planFetch chooses the source with the largest gain for s, which has cached tokens of the prompt and
// starts on a request after wait. A source that is still reading the prefix is chosen if the request can
// wait for it and yet be in time. The gain is zero if computing the prefix is better than each fetch.
func (e *poolEvaluation) planFetch(s *server, cached, speed float64, wait time.Duration) (best fetchPlan, bestGain time.Duration) {
	own := s.info.Address()
	for i := range e.router.sources {
		f := &e.router.sources[i]
		tokens := f.tokens - cached
		if tokens <= minFetchTokens || f.address == own {
			continue
		}
		p := fetchPlan{address: f.address, store: f.store, tokens: tokens, cached: f.tokens, readyIn: f.readyIn}
		var ok bool
		if p.transfer, ok = e.transferTime(s, f, tokens); !ok {
			continue
		}
		if p.readyIn > 0 && !(e.canHold() && e.inTime(max(wait, p.readyIn)+p.transfer+e.prefillTime(p.cached, speed))) {
			continue
		}
		if gain := gainOf(tokens, speed, max(p.readyIn-wait, 0)+p.transfer) - f.jitter; gain > bestGain {
			best, bestGain = p, gain
		}
	}
	return best, bestGain
}

// gainOf returns what it is worth not to compute tokens, after a delay.
func gainOf(tokens, speed float64, delay time.Duration) time.Duration {
	return seconds(tokens/speed) + time.Duration(tokens)*recomputeCost - delay
}

// prefillTime returns how long the prompt takes to compute behind a cached prefix.
func (e *poolEvaluation) prefillTime(cached, speed float64) time.Duration {
	return seconds(max(0, float64(e.tokens)-cached) / speed)
}

// planPrefix sets what c has of the prompt once it starts on the request, and the wait for that.
func (e *poolEvaluation) planPrefix(c *Candidate, s *server, speed float64) fetchPlan {
	if e.query.Class == masticview.ClassQuick {
		c.Cached = e.router.lookup.Cached(e.now, c.Slot)
		return fetchPlan{}
	}
	own := e.router.lookup.Presence(e.now, c.Slot)
	reading := own.Tokens > own.Complete+minFetchTokens
	if !reading {
		own.Complete = own.Tokens
	}
	plan, gain := e.planFetch(s, own.Complete, speed, c.Wait)
	if reading {
		// A second request that the engine gets while it reads the prefix often makes it read the prefix
		// again, so the request is held until the first token of the other.
		readyIn := timeLeft(e.now, own)
		if gainOf(own.Tokens-own.Complete, speed, max(readyIn-c.Wait, 0)) >= gain {
			c.Wait, c.Cached = max(c.Wait, readyIn), own.Tokens
			c.Hold = e.canHold()
			return fetchPlan{address: e.fallbackSource(s, own.Tokens)}
		}
	}
	if gain > 0 {
		c.Hold = plan.readyIn > 0
		c.Wait = max(c.Wait, plan.readyIn) + plan.transfer
		c.Cached = plan.cached
		return plan
	}
	c.Cached = own.Complete
	return fetchPlan{address: e.fallbackSource(s, own.Complete)}
}

// fallbackSource returns the address that s is told to fetch from although nothing is expected to be gained:
// an engine fetches only what it lacks, and it may have evicted what it is expected to have. It is empty if
// a source has more than s, so that computing the prefix is faster than to fetch it.
func (e *poolEvaluation) fallbackSource(s *server, cached float64) string {
	own, address, most := s.info.Address(), e.defaultSource, 0.0
	for i := range e.router.sources {
		f := &e.router.sources[i]
		if f.address == own || f.readyIn > 0 {
			continue
		}
		if f.tokens > cached+minFetchTokens {
			return ""
		}
		if f.tokens > most {
			address, most = f.address, f.tokens
		}
	}
	return address
}

// canHold reports whether the request may wait at this host until an engine has read its prefix. A
// coordinator lets no request wait, since its hosts wait for its answer.
func (e *poolEvaluation) canHold() bool {
	return e.query.Shard == 0 && e.router.shards == nil && e.query.Waited < maxHold
}

// inTime reports whether a first token after the predicted time comes before it is due.
func (e *poolEvaluation) inTime(predicted time.Duration) bool {
	return e.query.Due.IsZero() || !e.now.Add(predicted).After(e.query.Due)
}

// transferTime returns how long s takes to fetch tokens from f once f has them. It reports false if the
// rates of the links are not known.
func (e *poolEvaluation) transferTime(s *server, f *fetchSource, tokens float64) (time.Duration, bool) {
	rate := e.router.transferSpeeds[s.info.Service]
	if f.rate > 0 {
		rate = min(rate, f.rate)
	}
	if rate <= 0 {
		return 0, false
	}
	t := seconds(tokens / rate)
	if s.info.Zone != f.zone {
		t *= crossZoneFactor
	}
	return t + f.queue + fetchSetupDelay, true
}
