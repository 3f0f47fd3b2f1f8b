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
	// recomputeCost is the waiting time that counts as much as recomputing one token that is
	// cached elsewhere: 1,000 recomputed tokens count like 60 ms of waiting. Users consider 1,000
	// such tokens as bad as a tenth of a review, a long request.
	recomputeCost = 60 * time.Microsecond
	// homeCredit favors the home engine, so that hosts that do not know of each other's
	// decisions yet choose the same one.
	homeCredit = 80 * time.Millisecond
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
			c, plan, ok := e.evaluate(slot, reason)
			if !ok {
				return
			}
			if d.nEvaluated < maxCandidates {
				d.evaluated[d.nEvaluated] = c
				d.nEvaluated++
			}
			if c.score() < best {
				best = c.score()
				d.Candidate, d.Pieces, d.Tokens, d.Save = c, e.pieces, tokens, e.saveTo
				d.Fetch, d.FetchTokens, d.FetchFromStore = plan.address, plan.tokens, plan.store
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
	d.Held = heldFor(d.Tokens, q.OutputTokens)
	d.Admit = !d.Hold && r.canAdmitShared(now, s, q, d.Held)
	return d, true
}

// canAdmitShared reports whether s may get the request, which needs held tokens of its memory, at once.
// Engines queue and order requests themselves, so s may hold a quarter more than its slots (see
// extraSlotsDivisor), and twice its slots if the request is of the quick class. A request waits until the
// engine's memory has room for it and its output, unless nothing runs there; otherwise the engine preempts
// the newest running request and computes its prompt again.
func (r *Router) canAdmitShared(now time.Time, s *server, q *Query, held float64) bool {
	if s.rejections.isFull(now) || r.beyondLocalBound(s, q) {
		return false
	}
	running := s.calls(now)
	if running > 0 && s.memoryFullFor(now, q.Class, held) {
		return false
	}
	return s.info.Slots == 0 || running < s.info.Slots+s.info.Slots/extraSlotsDivisor || q.Class == masticview.ClassQuick && running < 2*s.info.Slots
}

const (
	// maxLocalRequests is how many requests a host of a site with shards may have on an engine when it assigns one
	// without a coordinator: it does not know what the other hosts have there.
	maxLocalRequests = 2
	// localBoundCost is the cost of an engine on which the host has so many, so that another is chosen.
	localBoundCost = 2 * time.Second
)

// beyondLocalBound reports whether this host may not send the request to s as no coordinator assigned it.
func (r *Router) beyondLocalBound(s *server, q *Query) bool {
	return r.shards != nil && q.Shard == 0 && s.load.running >= maxLocalRequests
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
	// defaultSource is the address of the prompt's home store, which is named as source if no fetch is
	// expected to gain anything.
	defaultSource string
	// saveTo is the address of the prompt's home store if that lacks some of the prompt.
	saveTo string
	// maxCachedTokens is the length of the longest prefix that the home store or any engine is
	// expected to have or to be reading.
	maxCachedTokens float64
}

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
	e.addSources()
	return e
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

// evaluate predicts the time to the first token on one engine, and returns how the engine fetches what it
// lacks. It reports false if the engine can't run the request.
func (e *poolEvaluation) evaluate(slot masticcache.Slot, reason Reason) (Candidate, fetchPlan, bool) {
	r, s := e.router, e.router.servers[slot]
	if !r.canRun(e.now, s, e.query) {
		return Candidate{}, fetchPlan{}, false
	}
	speed := s.speed(e.now, r.meanSpeed)
	c := Candidate{Slot: slot, Reason: reason, Wait: s.waitShared(e.now, e.query.Class, speed)}
	plan := e.planPrefix(&c, s, speed)
	if recomputed := e.maxCachedTokens - c.Cached; recomputed > minFetchTokens {
		c.Cost += time.Duration(recomputed) * recomputeCost
	}
	c.Prefill = e.prefillTime(c.Cached, speed)
	if held := heldFor(e.tokens, e.query.OutputTokens); s.memoryFullFor(e.now, e.query.Class, held) {
		c.Cost += memoryFullCost
		c.Wait = max(c.Wait, s.memoryWait(e.now, e.query.Class, held, c.Wait))
	}
	if r.beyondLocalBound(s, e.query) {
		c.Cost += localBoundCost
	}
	if e.query.Class == masticview.ClassQuick && s.slotsTaken(e.now) {
		c.Cost += preemptionCost
	}
	if e.pool.outdated(e.query) {
		if e.pool.pastDeadline(e.now.Add(c.Wait), e.query) {
			return Candidate{}, fetchPlan{}, false
		}
		c.Cost += outdatedWeightsCost
	}
	if slot == e.home {
		c.Credit = homeCredit
	}
	return c, plan, true
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
