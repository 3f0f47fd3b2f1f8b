package masticroute

import (
	"math"
	"slices"
	"time"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

const (
	// maxCandidates bounds the backend servers evaluated in one decision.
	maxCandidates = 16
	// homesPerLevel is the number of home servers (the first on the hash ring) per level of the
	// prompt.
	homesPerLevel = 2
	// maxRingSteps bounds the ring points visited for one level.
	maxRingSteps = 24
	// maxHolderCandidates bounds the candidates taken because the cache index lists part of the
	// prompt for them.
	maxHolderCandidates = 6
	// randomCandidates is the number of randomly drawn candidates.
	randomCandidates = 2
	// evictionCost is, in prefill times of one token at the mean speed, the cost to other requests
	// of the cache space that one computed token takes on a backend server with mean churn (rate of
	// stored pieces).
	evictionCost = 1.5
	// offHomeCost is, in prefill times of one token at the mean speed, the cost of computing one
	// token on a backend server that is not a home of its prefix: no other host would look for it
	// there.
	offHomeCost = 1.0
	// offHomeCostWithoutEvents replaces offHomeCost while no cache events show what other hosts
	// have computed.
	offHomeCostWithoutEvents = 4.0
	// unreportedTokens is the expected work ahead of a quick request that the load report, which
	// lags, does not show on a backend server outside the reserve. A piece is being computed
	// there half of the time, and half of that piece remains on average.
	unreportedTokens = masticprompt.PieceTokens / 4
)

// Reason is why a backend server became a candidate.
type Reason string

// Reasons, in the order in which Decide adds candidates. ReasonScan is outside this order:
// it is used where all engines of a pool are evaluated.
const (
	ReasonReserve Reason = "reserve"
	ReasonHolder  Reason = "holder"
	ReasonHome    Reason = "home"
	ReasonRandom  Reason = "random"
	// ReasonAny marks usable servers that are taken because there is no other candidate.
	ReasonAny Reason = "any"
)

// Query holds the properties of a request that a decision depends on.
type Query struct {
	Model     string
	Workspace string
	Class     masticview.Class
	Prompt    masticprompt.Prompt
	// PromptTokens is the length of the prompt where a better value than the estimate is known.
	PromptTokens int64
	// OutputTokens is the largest length of the output, zero if that is not stated.
	OutputTokens int64
	Avoid        []string
	// Software restricts the backend servers by the version of their software.
	Software masticcall.Software
	// Shard is the number of the shard whose engines may run the request, zero for any engine.
	Shard int
	// OtherHost reports that another host sends the request, which checks pauses and stated rates itself.
	OtherHost bool
	// Suspect reports that the request may crash the backend server that runs it.
	Suspect bool
	// Due is when the first token is due, zero if that is not stated.
	Due time.Time
	// Waited is how long the request has been in the queue.
	Waited time.Duration
	// Versions are the announced versions of the weights, the newest last; empty means that any
	// version is accepted.
	Versions []AnnouncedVersion
	// Discount is the share of Cost that is waived, 0 to 1: a workspace that uses less than its
	// share costs others little.
	Discount float64
}

// Candidate is one evaluated backend server.
type Candidate struct {
	Slot   masticcache.Slot
	Reason Reason
	// Cached is the expected number of cached tokens.
	Cached float64
	// Wait is the predicted time until the prefill starts, Prefill the time that it takes. Their
	// sum is the predicted time to the first token.
	Wait, Prefill time.Duration
	// Credit is subtracted from the predicted time when candidates are compared. Cost is added to
	// it and holds penalties, such as the time that other requests lose because the prefill takes
	// cache space.
	Credit, Cost time.Duration
	// Hold reports that the request should wait at this host until an engine has read its prefix.
	Hold bool
}

// Predicted returns the predicted time to the first token.
func (c Candidate) Predicted() time.Duration { return c.Wait + c.Prefill }

// score orders the candidates; the lowest is chosen.
func (c Candidate) score() time.Duration { return c.Wait + c.Prefill - c.Credit + c.Cost }

// Decision is the outcome of Decide.
type Decision struct {
	Candidate
	// Admit reports that the backend server can take the request now; otherwise the request waits
	// in the queue.
	Admit bool
	// Pieces are the prompt's pieces as identified for the weights version of the chosen backend
	// server.
	Pieces  []masticprompt.Piece
	Tokens  int64
	Ahead   float64
	Trial   masticcache.HitPrediction
	LookUps int
	// Fetch is the IP:port from which the backend server fetches parts of the prompt, Save that
	// of the store that receives them. Either may be empty.
	Fetch, Save string
	// FetchTokens is the number of tokens that the backend server is expected to fetch.
	FetchTokens float64
	// FetchFromStore reports that it fetches them from a store, not from an engine.
	FetchFromStore bool
	// Held is the memory of the engine that the request needs, in tokens.
	Held       float64
	evaluated  [maxCandidates]Candidate
	nEvaluated int
}

// Uncached returns the predicted number of tokens to compute before the first token.
func (d *Decision) Uncached() int64 { return int64(max(0, float64(d.Tokens)-d.Cached)) }

// Prefix returns the name of the longest part of the prompt that other requests may share, or an
// empty string if there is none.
func (d *Decision) Prefix() string {
	end := -1
	if len(d.Pieces) > 0 {
		end = prefixEnd(d.Pieces)
	}
	if end < 0 {
		return ""
	}
	return d.Pieces[end].ID.String()[:prefixDigits]
}

// prefixDigits is the length of a prefix name in logs, in hexadecimal digits.
const prefixDigits = 8

// Evaluated returns the evaluated candidates, at most maxCandidates, in the order in which they
// were found.
func (d *Decision) Evaluated() []Candidate { return d.evaluated[:d.nEvaluated] }

// Decide evaluates the candidates for q and chooses the one with the lowest score. It reports
// false when no backend server is usable.
func (r *Router) Decide(now time.Time, q *Query) (Decision, bool) {
	if r.shared {
		return r.decideShared(now, q)
	}
	var d Decision
	d.Prefill = math.MaxInt64 / 8
	found := false
	for i := range r.pools[q.Model] {
		if r.pools[q.Model][i].pastDeadline(now, q) {
			continue
		}
		found = r.decideIn(now, &r.pools[q.Model][i], q, &d) || found
	}
	if !found {
		return d, false
	}
	s := r.servers[d.Slot]
	d.Admit = r.canAdmit(now, s, d.Wait, q)
	d.Ahead = s.load.ownTokens + s.load.reportedOthersTokens(now)
	return d, true
}

// decideIn evaluates the candidates of one pool against the best so far in d, and reports
// whether it replaced that.
func (r *Router) decideIn(now time.Time, p *pool, q *Query, d *Decision) bool {
	pieces := q.Prompt.Pieces(masticprompt.Seed{Workspace: q.Workspace, Model: q.Model, WeightsVersion: p.version})
	tokens := max(q.Prompt.Tokens(), q.PromptTokens)
	r.lookup = r.cacheIndex.Lookup(r.lookup, pieces)
	d.LookUps += min(len(pieces), r.lookup.MatchedPieces()+1)
	found := false
	homes := p.homes(pieces)
	reserved := r.reserved(p, q.Class)
	add := func(slot masticcache.Slot, reason Reason) bool {
		if d.nEvaluated == maxCandidates {
			return false
		}
		s := r.servers[slot]
		if d.has(slot) || !r.canRun(now, s, q) || (slices.Contains(reserved, slot) && reason != ReasonAny) {
			return true
		}
		c := r.predict(now, slot, reason, q.Class, tokens)
		if q.Class != masticview.ClassQuick && !slices.Contains(homes, slot) {
			c.Cost += seconds(r.currentOffHomeCost(now) * (float64(tokens) - c.Cached) / r.meanSpeed)
		}
		c.Cost = time.Duration((1 - q.Discount) * float64(c.Cost))
		if p.outdated(q) {
			c.Cost += outdatedWeightsCost
		}
		if reason == ReasonReserve {
			c.Credit = warmUpCredit(c, pieces)
		}
		d.evaluated[d.nEvaluated] = c
		d.nEvaluated++
		if c.score() < d.score() {
			d.Candidate = c
			d.Pieces = pieces
			d.Tokens = tokens
			d.Trial = r.lookup.HitPrediction(now, slot)
			found = true
		}
		return true
	}
	r.addReserve(p, q.Class, add)
	r.addHolders(add)
	r.addHomes(p, pieces, add)
	r.addRandom(p, add)
	if d.nEvaluated == 0 {
		r.addAny(p, add)
	}
	return found
}

func (d *Decision) has(slot masticcache.Slot) bool {
	for _, c := range d.Evaluated() {
		if c.Slot == slot {
			return true
		}
	}
	return false
}

// canRun reports whether s may get the request now.
func (r *Router) canRun(now time.Time, s *server, q *Query) bool {
	if q.OtherHost {
		return r.isEligible(now, s, q) && !s.notice.Leaving()
	}
	return r.isEligible(now, s, q) && s.notice.Allows(now) && r.limits.Available(now, s.info.Name)
}

// isEligible is canRun without regard to what s states about itself.
func (r *Router) isEligible(now time.Time, s *server, q *Query) bool {
	if !s.usable(now) || slices.Contains(q.Avoid, s.info.Name) || !q.Software.Allows(s.info.Software) {
		return false
	}
	return !q.Suspect || s.suspects == 0
}

func (r *Router) predict(now time.Time, slot masticcache.Slot, reason Reason, class masticview.Class, tokens int64) Candidate {
	s := r.servers[slot]
	speed := s.speed(now, r.meanSpeed)
	cached := r.lookup.Cached(now, slot)
	uncached := max(0, float64(tokens)-cached)
	wait := s.wait(now, class, speed, r.quickWorkShare())
	if class == masticview.ClassQuick && reason != ReasonReserve {
		wait = max(wait, seconds(unreportedTokens/speed))
	}
	var cost time.Duration
	if class != masticview.ClassQuick {
		cost = seconds(evictionCost * r.cacheIndex.Churn(now, slot, r.engines) * uncached / r.meanSpeed)
	}
	return Candidate{
		Slot: slot, Reason: reason, Cached: cached,
		Wait: wait, Prefill: seconds(uncached / speed), Cost: cost,
	}
}

// canAdmit reports whether s may get a request with the predicted wait at once. The quick class
// does not wait for other work, since engines schedule it first. A request is queued here no
// longer than it would wait at the backend server.
func (r *Router) canAdmit(now time.Time, s *server, wait time.Duration, q *Query) bool {
	if s.rejections.isFull(now) {
		return false
	}
	if s.load.running == 0 {
		return true
	}
	if slots := s.load.report.Slots; slots > 0 && int64(s.load.running)+s.load.othersRunning >= slots+maxExtraRunning {
		return false
	}
	return q.Class == masticview.ClassQuick || wait <= max(maxServerWait, q.Waited)
}

func (r *Router) addHolders(add func(masticcache.Slot, Reason) bool) {
	n := 0
	r.lookup.Holders(func(slot masticcache.Slot) bool {
		n++
		return add(slot, ReasonHolder) && n < maxHolderCandidates
	})
}

// addHomes adds the home servers of each level. It omits the last of several levels, which is
// seldom repeated.
func (r *Router) addHomes(p *pool, pieces []masticprompt.Piece, add func(masticcache.Slot, Reason) bool) {
	for i := len(pieces) - 1; i >= 0; i-- {
		if !pieces[i].Last || (i == len(pieces)-1 && pieces[i].Level > 0) {
			continue
		}
		seen := [homesPerLevel]masticcache.Slot{}
		n := 0
		p.ring.walk(pieces[i].ID.Hash(), maxRingSteps, func(slot masticcache.Slot) bool {
			if slices.Contains(seen[:n], slot) {
				return true
			}
			if r.servers[slot].active && add(slot, ReasonHome) {
				seen[n] = slot
				n++
			}
			return n < homesPerLevel
		})
	}
}

func (r *Router) addRandom(p *pool, add func(masticcache.Slot, Reason) bool) {
	for range randomCandidates {
		add(p.slots[r.random.IntN(len(p.slots))], ReasonRandom)
	}
}

// addAny adds usable backend servers, from a random one on, where no other candidate was found.
func (r *Router) addAny(p *pool, add func(masticcache.Slot, Reason) bool) {
	from := r.random.IntN(len(p.slots))
	for i := range p.slots {
		add(p.slots[(from+i)%len(p.slots)], ReasonAny)
	}
}
