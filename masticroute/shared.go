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
	// scanServers is the number of engines of a pool up to which all are weighed; the users'
	// sites have 9 and 18 and, grown, 90.
	scanServers = 32
	// ringCandidates and drawnCandidates are weighed of larger pools besides the holders.
	ringCandidates  = 4
	drawnCandidates = 10
	// chunkTokens is what an engine reads at once: an urgent request waits for half of it.
	chunkTokens = 4096
	// minFetch is the least gain of a fetch, in tokens: each costs some milliseconds.
	minFetch = 1000
	// fetchSetup is the time of a fetch besides its transfer.
	fetchSetup = 5 * time.Millisecond
	// settleSpan is after how long a prompt that was sent to an engine has been read there.
	settleSpan = 600 * time.Millisecond
	// farFetch is how many times as long a fetch from another availability zone takes.
	farFetch = 2
	// rereadCost is what a token costs that is read again although it is cached elsewhere, as
	// waiting: the users price 1,000 of them like a tenth of a review.
	rereadCost = 60 * time.Microsecond
	// homeCredit leads hosts that do not know of each other's decisions yet to one engine.
	homeCredit = 80 * time.Millisecond
	// fullCost is what a request costs that an engine's memory has no room for: another one
	// is put back and read again.
	fullCost = 600 * time.Millisecond
	// fullShare is the share of the memory that running requests may take.
	fullShare = 0.85
	// putBackCost is what an urgent request costs on an engine whose slots are taken: it puts
	// back the newest long one, which is read again for some 270 ms.
	putBackCost = 270 * time.Millisecond
	// slotCost is what each running request adds to the steps of the others.
	slotCost = 2 * time.Millisecond
)

// ReasonScan marks candidates that were weighed since all were.
const ReasonScan Reason = "scan"

// decideShared weighs candidates by the work of all hosts, of which they tell each other. A
// prompt that is cached elsewhere is fetched, so requests go where the least work is.
func (r *Router) decideShared(now time.Time, q *Query) (Decision, bool) {
	var d Decision
	best := time.Duration(math.MaxInt64)
	tokens := max(q.Prompt.Tokens(), q.PromptTokens)
	for i := range r.pools[q.Model] {
		p := &r.pools[q.Model][i]
		if p.tooOld(now, q) {
			continue
		}
		w := r.newWeighing(now, p, q, tokens)
		w.candidates(func(slot masticcache.Slot, reason Reason) {
			c, fetch, ok := w.weigh(slot, reason)
			if !ok {
				return
			}
			if d.nWeighed < maxCandidates {
				d.weighed[d.nWeighed] = c
				d.nWeighed++
			}
			if c.score() < best {
				best = c.score()
				d.Candidate, d.Pieces, d.Tokens, d.Fetch, d.Save = c, w.pieces, tokens, fetch, w.save
			}
		})
	}
	if best == math.MaxInt64 {
		return d, false
	}
	s := r.servers[d.Slot]
	d.Ahead = s.load.own + s.load.peersNow(now).tokens
	d.Open = r.openShared(now, s, q, d.Tokens)
	return d, true
}

// openShared reports whether s may get the request at once: engines queue and order by
// themselves, but only some requests beyond their slots. A long prompt waits until the engine's
// memory has room: else the engine puts back the newest run and reads it again.
func (r *Router) openShared(now time.Time, s *server, q *Query, tokens int64) bool {
	peers := s.load.peersNow(now)
	running := int64(s.load.running) + peers.running
	if q.Class != masticview.ClassQuick && running > 0 && s.fullFor(now, float64(tokens)) {
		return false
	}
	return s.info.Slots == 0 || running < s.info.Slots+s.info.Slots/extraPart || q.Class == masticview.ClassQuick && running < 2*s.info.Slots
}

// extraPart is the part of an engine's slots that it may hold as queued requests besides.
const extraPart = 4

// weighing is what is the same for all candidates of one pool.
type weighing struct {
	router *Router
	now    time.Time
	pool   *pool
	query  *Query
	tokens int64
	pieces []masticprompt.Piece
	home   masticcache.Slot
	// source has the most of the prompt to fetch, fetchable how much; save is the store where
	// it belongs if that lacks some.
	source    source
	fetchable float64
	save      string
	// known is the most of the prompt that any engine is believed to have.
	known float64
}

// source is where a prompt is fetched from.
type source struct{ address, zone string }

func (r *Router) newWeighing(now time.Time, p *pool, q *Query, tokens int64) *weighing {
	w := &weighing{router: r, now: now, pool: p, query: q, tokens: tokens, home: -1}
	w.pieces = q.Prompt.Pieces(masticprompt.Seed{Workspace: q.Workspace, Model: q.Model, WeightsVersion: p.version})
	r.lookup = r.beliefs.Lookup(r.lookup, w.pieces)
	if first := r.homeOf(q, p); first >= 0 {
		w.home = first
	}
	if q.Class == masticview.ClassQuick {
		return w
	}
	if s, ok := r.homeStore(now, w.pieces); ok {
		// The store is named also where it is not believed to have any of the prompt: a miss
		// costs an engine a millisecond.
		stored := r.lookup.Cached(now, s.slot)
		w.source, w.fetchable = source{s.address, s.zone}, stored
		if stored < sharedTokens(w.pieces)-minFetch {
			w.save = s.address
		}
	}
	w.known = w.fetchable
	r.lookup.Holders(w.addHolder)
	return w
}

// addHolder takes an engine that is believed to have a part of the prompt. Others may fetch
// from it what it has had for some time.
func (w *weighing) addHolder(slot masticcache.Slot) bool {
	r, s := w.router, w.router.servers[slot]
	if !s.active || s.info.Kind != masticview.ServerEngine {
		return true
	}
	cached := r.lookup.Cached(w.now, slot)
	w.known = max(w.known, cached)
	if cached > w.fetchable+minFetch && s.usable(w.now) && r.lookup.Settled(slot, w.now.Add(-settleSpan)) {
		w.source, w.fetchable = source{s.info.Address(), s.info.Zone}, cached
	}
	return true
}

// homeOf returns the engine where all hosts look first for the prompt's prefix, whatever the
// versions of its weights. Engines that are not of the pool are passed over.
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

// sharedTokens returns the length of all levels but the last.
func sharedTokens(pieces []masticprompt.Piece) float64 {
	var n float64
	for _, p := range pieces[:prefixEnd(pieces)+1] {
		n += float64(p.Tokens)
	}
	return n
}

// candidates calls use with the engines to weigh; one may come more than once.
func (w *weighing) candidates(use func(masticcache.Slot, Reason)) {
	if len(w.pool.slots) <= scanServers {
		for _, slot := range w.pool.slots {
			use(slot, ReasonScan)
		}
		return
	}
	w.router.lookup.Holders(func(slot masticcache.Slot) bool {
		if slices.Contains(w.pool.slots, slot) {
			use(slot, ReasonHolder)
		}
		return true
	})
	if len(w.pieces) > 0 {
		for _, slot := range w.pool.ring.first(w.pieces[max(0, prefixEnd(w.pieces))].ID.Hash(), ringCandidates) {
			use(slot, ReasonHome)
		}
	}
	for range drawnCandidates {
		use(w.pool.slots[w.router.source.IntN(len(w.pool.slots))], ReasonRandom)
	}
}

// weigh predicts the first token on one engine, and from where it would fetch.
func (w *weighing) weigh(slot masticcache.Slot, reason Reason) (Candidate, string, bool) {
	r, s := w.router, w.router.servers[slot]
	if !r.fits(w.now, s, w.query) {
		return Candidate{}, "", false
	}
	speed := s.speed(w.now, r.speeds)
	cached := r.lookup.Cached(w.now, slot)
	c := Candidate{Slot: slot, Reason: reason, Cached: cached, Wait: s.waitShared(w.now, w.query.Class, speed)}
	// An engine fetches only what it lacks, so a source is named also where the engine is
	// believed to have all: it may have evicted it.
	fetch := w.source.address
	if fetch == s.info.Address() {
		fetch = ""
	}
	if gain := w.fetchable - cached; gain > minFetch && w.transferTime(s, gain) < seconds(gain/speed)+time.Duration(gain)*rereadCost {
		c.Wait += w.transferTime(s, gain)
		c.Cached = w.fetchable
	} else if gain > minFetch {
		fetch = ""
	}
	if reread := w.known - c.Cached; reread > minFetch {
		c.Cost += time.Duration(reread) * rereadCost
	}
	c.Prefill = seconds(max(0, float64(w.tokens)-c.Cached) / speed)
	if s.fullFor(w.now, float64(w.tokens)) {
		c.Cost += fullCost
	}
	if w.query.Class == masticview.ClassQuick && s.slotsTaken(w.now) {
		c.Cost += putBackCost
	}
	if w.pool.old(w.query) {
		if w.pool.tooOld(w.now.Add(c.Wait), w.query) {
			return Candidate{}, "", false
		}
		c.Cost += oldWeightsCost
	}
	if slot == w.home {
		c.Credit = homeCredit
	}
	return c, fetch, true
}

// transferTime returns how long s takes to fetch tokens from the source.
func (w *weighing) transferTime(s *server, tokens float64) time.Duration {
	rate := w.router.transfer[s.info.Service]
	if rate <= 0 {
		return math.MaxInt64
	}
	t := seconds(tokens / rate)
	if s.info.Zone != w.source.zone {
		t *= farFetch
	}
	return t + fetchSetup
}

// waitShared returns the predicted time until the engine starts on one more request.
func (s *server) waitShared(now time.Time, class masticview.Class, speed float64) time.Duration {
	peers := s.load.peersNow(now)
	work := s.load.own + peers.tokens
	if class == masticview.ClassQuick {
		urgent := s.load.ownUrgent + peers.urgent
		work = min(max(0, work-urgent), chunkTokens)/2 + urgent
	}
	running := int64(s.load.running) + peers.running
	wait := seconds(work/speed) + time.Duration(running)*slotCost
	if slots := s.info.Slots; slots > 0 && running >= slots {
		wait += time.Duration(running-slots+1) * s.holdTime() / time.Duration(slots)
	}
	return wait
}

// slotsTaken reports whether as many requests run on the engine as it has slots.
func (s *server) slotsTaken(now time.Time) bool {
	return s.info.Slots > 0 && int64(s.load.running)+s.load.peersNow(now).running >= s.info.Slots
}

// fullFor reports whether the engine's memory has no room for tokens more.
func (s *server) fullFor(now time.Time, tokens float64) bool {
	if s.memory == 0 {
		return false
	}
	return s.load.held+s.load.peersNow(now).held+tokens > fullShare*s.memory
}
