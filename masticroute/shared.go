package masticroute

import (
	"math"
	"slices"
	"time"

	"masticladder/masticcache"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

const (
	// maxScanServers is the largest number of engines of a pool at which all are evaluated; the
	// users' sites have 9 and 18 and, grown, 90.
	maxScanServers = 32
	// sharedRingCandidates and sharedRandomCandidates are the numbers of engines evaluated in
	// larger pools besides the holders.
	sharedRingCandidates   = 4
	sharedRandomCandidates = 10
	// prefillChunkTokens is what an engine computes in one step: a quick request waits for half
	// of it.
	prefillChunkTokens = 4096
	// minFetchTokens is the least gain of a fetch, in tokens: each fetch costs some
	// milliseconds.
	minFetchTokens = 1000
	// fetchSetupDelay is the time of a fetch besides its transfer.
	fetchSetupDelay = 5 * time.Millisecond
	// prefillDelay is the time after which a prompt that was sent to an engine is assumed to be
	// computed there.
	prefillDelay = 600 * time.Millisecond
	// crossZoneFactor is how many times as long a fetch from another availability zone takes.
	crossZoneFactor = 2
	// recomputeCost is the waiting time that counts as much as recomputing one token that is
	// cached elsewhere: 1,000 recomputed tokens count like 60 ms of waiting. Users consider 1,000
	// such tokens as bad as a tenth of a review, a long request.
	recomputeCost = 60 * time.Microsecond
	// homeCredit favors the home engine, so that hosts that do not know of each other's
	// decisions yet choose the same one.
	homeCredit = 80 * time.Millisecond
	// memoryFullCost is the cost of a request that the engine's memory has no room for: another
	// request is preempted and its prompt computed again.
	memoryFullCost = 600 * time.Millisecond
	// maxMemoryShare is the share of the memory that running requests may take.
	maxMemoryShare = 0.85
	// preemptionCost is the cost of a quick request on an engine whose slots are taken: it
	// preempts the newest long request, whose prompt is computed again for some 270 ms.
	preemptionCost = 270 * time.Millisecond
	// stepCost is the time that each running request adds to the steps of the others.
	stepCost = 2 * time.Millisecond
)

// ReasonScan marks candidates of a pool whose engines are all evaluated, in decideShared.
const ReasonScan Reason = "scan"

// ReasonShard marks candidates of a shard that this host coordinates; all its engines are evaluated.
const ReasonShard Reason = "shard"

// shard returns the slots of the numbered shard.
func (p *pool) shard(number int) []masticcache.Slot {
	if number > len(p.shards) {
		return nil
	}
	return p.shards[number-1]
}

// decideShared evaluates candidates by the work of all hosts, which report it to each other. A
// prompt that is cached elsewhere is fetched, so requests go to the engine with the least work.
func (r *Router) decideShared(now time.Time, q *Query) (Decision, bool) {
	var d Decision
	best := time.Duration(math.MaxInt64)
	tokens := max(q.Prompt.Tokens(), q.PromptTokens)
	for i := range r.pools[q.Model] {
		p := &r.pools[q.Model][i]
		if p.pastDeadline(now, q) {
			continue
		}
		e := r.newPoolEvaluation(now, p, q, tokens)
		use := func(slot masticcache.Slot, reason Reason) {
			c, fetch, ok := e.evaluate(slot, reason)
			if !ok {
				return
			}
			if d.nEvaluated < maxCandidates {
				d.evaluated[d.nEvaluated] = c
				d.nEvaluated++
			}
			if c.score() < best {
				best = c.score()
				d.Candidate, d.Pieces, d.Tokens, d.Fetch, d.Save = c, e.pieces, tokens, fetch, e.saveTo
			}
		}
		e.forEachCandidate(use)
		if best == math.MaxInt64 {
			e.forEachOther(use)
		}
	}
	if best == math.MaxInt64 {
		return d, false
	}
	s := r.servers[d.Slot]
	d.Ahead = s.load.ownTokens + s.load.peersNow(now).tokens
	d.Admit = r.canAdmitShared(now, s, q, d.Tokens)
	return d, true
}

// canAdmitShared reports whether s may get the request at once. Engines queue and order requests
// themselves, so s may hold a quarter more than its slots (see extraSlotsDivisor), and twice its
// slots if the request is of the quick class. A request of another class waits until the engine's
// memory has room, unless nothing runs there; otherwise the engine preempts the newest running
// request and computes its prompt again.
func (r *Router) canAdmitShared(now time.Time, s *server, q *Query, tokens int64) bool {
	if s.rejections.isFull(now) {
		return false
	}
	running := s.calls(now)
	if q.Class != masticview.ClassQuick && running > 0 && s.memoryFullFor(now, float64(tokens)) {
		return false
	}
	return s.info.Slots == 0 || running < s.info.Slots+s.info.Slots/extraSlotsDivisor || q.Class == masticview.ClassQuick && running < 2*s.info.Slots
}

// extraSlotsDivisor divides an engine's slots; the result is the number of requests that it may
// hold in its queue beyond its slots.
const extraSlotsDivisor = 4

// poolEvaluation holds what is the same for all candidates of one pool.
type poolEvaluation struct {
	router *Router
	now    time.Time
	pool   *pool
	query  *Query
	tokens int64
	pieces []masticprompt.Piece
	home   masticcache.Slot
	// source is where engines fetch the prompt's prefix from. It is the prompt's home store,
	// chosen among the usable stores, even if that has none of the prompt; see addHolder for when
	// an engine replaces it.
	source fetchSource
	// fetchableTokens is the expected length of the prefix that source has cached.
	fetchableTokens float64
	// saveTo is the address of the prompt's home store if that lacks some of the prompt.
	saveTo string
	// maxCachedTokens is the length of the longest prefix that the home store or any engine is
	// expected to have cached.
	maxCachedTokens float64
}

// fetchSource is the address from which a prompt is fetched, with its availability zone.
type fetchSource struct{ address, zone string }

func (r *Router) newPoolEvaluation(now time.Time, p *pool, q *Query, tokens int64) *poolEvaluation {
	e := &poolEvaluation{router: r, now: now, pool: p, query: q, tokens: tokens, home: -1}
	e.pieces = q.Prompt.Pieces(masticprompt.Seed{Workspace: q.Workspace, Model: q.Model, WeightsVersion: p.version})
	r.lookup = r.cacheIndex.Lookup(r.lookup, e.pieces)
	if first := r.homeOf(q, p); first >= 0 && q.Shard == 0 {
		e.home = first
	}
	if q.Class == masticview.ClassQuick {
		return e
	}
	if s, ok := r.homeStore(now, e.pieces); ok {
		// The store is the source even if it is not expected to have any of the prompt: a miss
		// costs an engine a millisecond.
		stored := r.lookup.Cached(now, s.slot)
		e.source, e.fetchableTokens = fetchSource{s.address, s.zone}, stored
		if stored < sharedTokens(e.pieces)-minFetchTokens {
			e.saveTo = s.address
		}
	}
	e.maxCachedTokens = e.fetchableTokens
	r.lookup.Holders(e.addHolder)
	return e
}

// addHolder takes into account an engine that is expected to have part of the prompt cached. It
// becomes the source if it is usable, has over minFetchTokens more of the prompt than the source
// so far, and has held the first piece for longer than prefillDelay.
func (e *poolEvaluation) addHolder(slot masticcache.Slot) bool {
	r, s := e.router, e.router.servers[slot]
	if !s.active || s.info.Kind != masticview.ServerEngine {
		return true
	}
	cached := r.lookup.Cached(e.now, slot)
	e.maxCachedTokens = max(e.maxCachedTokens, cached)
	if cached > e.fetchableTokens+minFetchTokens && s.usable(e.now) && r.lookup.ResidentBefore(slot, e.now.Add(-prefillDelay)) {
		e.source, e.fetchableTokens = fetchSource{s.info.Address(), s.info.Zone}, cached
	}
	return true
}

// homeOf returns the engine of p where all hosts look first for the prompt's prefix, or -1. The
// hash leaves out the version of the weights, so that the order of the engines on the ring is
// the same for all versions.
func (r *Router) homeOf(q *Query, p *pool) masticcache.Slot {
	pieces := q.Prompt.Pieces(masticprompt.Seed{Workspace: q.Workspace, Model: q.Model})
	end := prefixEnd(pieces)
	if end < 0 {
		return -1
	}
	homes := p.ring.first(pieces[end].ID.Hash(), 1)
	if len(homes) == 0 {
		return -1
	}
	return homes[0]
}

// sharedTokens returns the length of all levels but the last, in tokens.
func sharedTokens(pieces []masticprompt.Piece) float64 {
	var n float64
	for _, p := range pieces[:prefixEnd(pieces)+1] {
		n += float64(p.Tokens)
	}
	return n
}

// forEachCandidate calls use with the engines to evaluate; an engine may be passed more than
// once.
func (e *poolEvaluation) forEachCandidate(use func(masticcache.Slot, Reason)) {
	if e.query.Shard > 0 {
		for _, slot := range e.pool.shard(e.query.Shard) {
			use(slot, ReasonShard)
		}
		return
	}
	if len(e.pool.slots) <= maxScanServers {
		for _, slot := range e.pool.slots {
			use(slot, ReasonScan)
		}
		return
	}
	e.router.lookup.Holders(func(slot masticcache.Slot) bool {
		if slices.Contains(e.pool.slots, slot) {
			use(slot, ReasonHolder)
		}
		return true
	})
	if len(e.pieces) > 0 {
		for _, slot := range e.pool.ring.first(e.pieces[max(0, prefixEnd(e.pieces))].ID.Hash(), sharedRingCandidates) {
			use(slot, ReasonHome)
		}
	}
	for range sharedRandomCandidates {
		use(e.pool.slots[e.router.random.IntN(len(e.pool.slots))], ReasonRandom)
	}
}

// forEachOther calls use with all engines of a pool of which forEachCandidate passes a part: while most
// state a limit, that part may have none that is usable.
func (e *poolEvaluation) forEachOther(use func(masticcache.Slot, Reason)) {
	if len(e.pool.slots) <= maxScanServers || e.query.Shard > 0 {
		return
	}
	for _, slot := range e.pool.slots {
		use(slot, ReasonAny)
	}
}

// evaluate predicts the time to the first token on one engine, and returns the address from
// which the engine would fetch. It reports false if the engine can't run the request.
func (e *poolEvaluation) evaluate(slot masticcache.Slot, reason Reason) (Candidate, string, bool) {
	r, s := e.router, e.router.servers[slot]
	if !r.canRun(e.now, s, e.query) {
		return Candidate{}, "", false
	}
	speed := s.speed(e.now, r.meanSpeed)
	cached := r.lookup.Cached(e.now, slot)
	c := Candidate{Slot: slot, Reason: reason, Cached: cached, Wait: s.waitShared(e.now, e.query.Class, speed)}
	// An engine fetches only what it lacks, so a source is passed even if the engine is expected
	// to have everything: it may have evicted it.
	fetch := e.source.address
	if fetch == s.info.Address() {
		fetch = ""
	}
	if gain := e.fetchableTokens - cached; gain > minFetchTokens && e.transferTime(s, gain) < seconds(gain/speed)+time.Duration(gain)*recomputeCost {
		c.Wait += e.transferTime(s, gain)
		c.Cached = e.fetchableTokens
	} else if gain > minFetchTokens {
		fetch = ""
	}
	if recomputed := e.maxCachedTokens - c.Cached; recomputed > minFetchTokens {
		c.Cost += time.Duration(recomputed) * recomputeCost
	}
	c.Prefill = seconds(max(0, float64(e.tokens)-c.Cached) / speed)
	if s.memoryFullFor(e.now, float64(e.tokens)) {
		c.Cost += memoryFullCost
	}
	if e.query.Class == masticview.ClassQuick && s.slotsTaken(e.now) {
		c.Cost += preemptionCost
	}
	if e.pool.outdated(e.query) {
		if e.pool.pastDeadline(e.now.Add(c.Wait), e.query) {
			return Candidate{}, "", false
		}
		c.Cost += outdatedWeightsCost
	}
	if slot == e.home {
		c.Credit = homeCredit
	}
	return c, fetch, true
}

// transferTime returns how long s takes to fetch tokens from the source.
func (e *poolEvaluation) transferTime(s *server, tokens float64) time.Duration {
	rate := e.router.transferSpeeds[s.info.Service]
	if rate <= 0 {
		return math.MaxInt64
	}
	t := seconds(tokens / rate)
	if s.info.Zone != e.source.zone {
		t *= crossZoneFactor
	}
	return t + fetchSetupDelay
}

// waitShared returns the predicted time until the engine starts on one more request.
func (s *server) waitShared(now time.Time, class masticview.Class, speed float64) time.Duration {
	peers := s.load.peersNow(now)
	work := s.load.ownTokens + peers.tokens
	if class == masticview.ClassQuick {
		quickTokens := s.load.ownQuickTokens + peers.quickTokens
		work = min(max(0, work-quickTokens), prefillChunkTokens)/2 + quickTokens
	}
	running := int64(s.load.running) + peers.running
	wait := seconds(work/speed) + time.Duration(running)*stepCost + s.rejections.wait(now)
	if slots := s.info.Slots; slots > 0 && running >= slots {
		wait += time.Duration(running-slots+1) * s.decodeTime() / time.Duration(slots)
	}
	return wait
}

// slotsTaken reports whether at least as many requests run on the engine as it has slots, or whether it counts as full.
func (s *server) slotsTaken(now time.Time) bool {
	if s.rejections.isFull(now) {
		return true
	}
	return s.info.Slots > 0 && int64(s.load.running)+s.load.peersNow(now).running >= s.info.Slots
}

// memoryFullFor reports whether the engine's memory has no room for tokens more.
func (s *server) memoryFullFor(now time.Time, tokens float64) bool {
	if s.memoryTokens == 0 {
		return false
	}
	return s.load.heldTokens+s.load.peersNow(now).heldTokens+tokens > maxMemoryShare*s.memoryTokens
}
