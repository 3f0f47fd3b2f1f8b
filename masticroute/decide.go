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
	// maxCandidates bounds the backend servers weighed in one decision.
	maxCandidates = 16
	// homesPerLevel is the number of ring candidates of each level of the prompt.
	homesPerLevel = 2
	// walkLimit bounds the points of the ring that are seen for one level.
	walkLimit = 24
	// maxHolderCandidates bounds the believed holders weighed.
	maxHolderCandidates = 6
	// randomCandidates is the number of random ones weighed.
	randomCandidates = 2
	// evictionCost is what the room of a token in the cache costs others, in prefills of
	// a token at the mean speed, on a backend server with the mean churn.
	evictionCost = 1.5
	// offHomeCost is what a token computed elsewhere than at a home of its prefix costs,
	// in prefills of a token at the mean speed: no other host would look for it there.
	offHomeCost = 1.0
	// uninformedOffHomeCost is the same while no events tell where others have computed.
	uninformedOffHomeCost = 4.0
	// unseenTokens is the work before a quick request that a lagged report does not show
	// on a backend server outside the reserve: a piece is computed half of the time.
	unseenTokens = masticprompt.PieceTokens / 4
)

// Reason says why a backend server was a candidate.
type Reason string

// The reasons, in the order in which candidates are sought.
const (
	ReasonReserve Reason = "reserve"
	ReasonHolder  Reason = "holder"
	ReasonHome    Reason = "home"
	ReasonRandom  Reason = "random"
	// ReasonAny marks the usable ones when no other candidate is.
	ReasonAny Reason = "any"
)

// Query is what a decision depends on.
type Query struct {
	Model     string
	Workspace string
	Class     masticview.Class
	Prompt    masticprompt.Prompt
	// PromptTokens is the length of the prompt where it is known better than by estimate.
	PromptTokens int64
	Avoid        []string
	// Suspect reports that the request may end the backend server that runs it.
	Suspect bool
	// Waited is how long the request has been in the queue.
	Waited time.Duration
	// Versions are the versions of the weights that were named, the newest last; it is empty
	// where any will do.
	Versions []NamedVersion
	// Discount is the part of the costs to others that the request is not charged with,
	// 0 to 1: a workspace that uses less than its share costs others little.
	Discount float64
}

// Candidate is one backend server that was weighed.
type Candidate struct {
	Slot   masticcache.Slot
	Reason Reason
	// Cached is the expected number of cached tokens.
	Cached float64
	// Wait and Prefill add up to the predicted time to the first token.
	Wait, Prefill time.Duration
	// Credit is taken off the prediction when candidates are compared, Cost is added:
	// the time that others lose since the prefill takes room in the cache.
	Credit, Cost time.Duration
}

// Predicted returns the predicted time to the first token.
func (c Candidate) Predicted() time.Duration { return c.Wait + c.Prefill }

// score orders the candidates; the least is chosen.
func (c Candidate) score() time.Duration { return c.Wait + c.Prefill - c.Credit + c.Cost }

// Decision is the outcome of Decide.
type Decision struct {
	Candidate
	// Open reports that the backend server's window has room; else the request waits.
	Open bool
	// Pieces are the prompt's pieces under the weights of the chosen backend server.
	Pieces  []masticprompt.Piece
	Tokens  int64
	Ahead   float64
	Trial   masticcache.Trial
	LookUps int
	// Fetch is the IP:port from which the server fetches parts of the prompt, Save that of the
	// store that gets them; either may be empty.
	Fetch, Save string
	weighed     [maxCandidates]Candidate
	nWeighed    int
}

// Uncached returns the predicted work before the first token, in tokens.
func (d *Decision) Uncached() int64 { return int64(max(0, float64(d.Tokens)-d.Cached)) }

// Prefix names the longest part of the prompt that others may share, empty for none.
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

// prefixDigits is the length of the name of a prefix in logs.
const prefixDigits = 8

// Weighed returns all candidates, in the order in which they were found.
func (d *Decision) Weighed() []Candidate { return d.weighed[:d.nWeighed] }

// Decide weighs the candidates for q. It reports false when no backend server is usable.
func (r *Router) Decide(now time.Time, q *Query) (Decision, bool) {
	if r.shared {
		return r.decideShared(now, q)
	}
	var d Decision
	d.Prefill = math.MaxInt64 / 8
	found := false
	for i := range r.pools[q.Model] {
		if r.pools[q.Model][i].tooOld(now, q) {
			continue
		}
		found = r.decideIn(now, &r.pools[q.Model][i], q, &d) || found
	}
	if !found {
		return d, false
	}
	s := r.servers[d.Slot]
	d.Open = r.open(s, d.Wait, q)
	d.Ahead = s.load.own + s.load.othersNow(now)
	return d, true
}

// decideIn weighs the candidates of one pool against the best so far in d.
func (r *Router) decideIn(now time.Time, p *pool, q *Query, d *Decision) bool {
	pieces := q.Prompt.Pieces(masticprompt.Seed{Workspace: q.Workspace, Model: q.Model, WeightsVersion: p.version})
	tokens := max(q.Prompt.Tokens(), q.PromptTokens)
	r.lookup = r.beliefs.Lookup(r.lookup, pieces)
	d.LookUps += min(len(pieces), r.lookup.Looked()+1)
	found := false
	homes := p.homes(pieces)
	kept := r.reserved(p, q.Class)
	add := func(slot masticcache.Slot, reason Reason) bool {
		if d.nWeighed == maxCandidates {
			return false
		}
		s := r.servers[slot]
		if d.has(slot) || !r.fits(now, s, q) || (slices.Contains(kept, slot) && reason != ReasonAny) {
			return true
		}
		c := r.predict(now, slot, reason, q.Class, tokens)
		if q.Class != masticview.ClassQuick && !slices.Contains(homes, slot) {
			c.Cost += seconds(r.offHomeCost(now) * (float64(tokens) - c.Cached) / r.speeds)
		}
		c.Cost = time.Duration((1 - q.Discount) * float64(c.Cost))
		if p.old(q) {
			c.Cost += oldWeightsCost
		}
		if reason == ReasonReserve {
			c.Credit = warmUpCredit(c, pieces)
		}
		d.weighed[d.nWeighed] = c
		d.nWeighed++
		if c.score() < d.score() {
			d.Candidate = c
			d.Pieces = pieces
			d.Tokens = tokens
			d.Trial = r.lookup.Trial(now, slot)
			found = true
		}
		return true
	}
	r.addReserve(p, q.Class, add)
	r.addHolders(add)
	r.addHomes(p, pieces, add)
	r.addRandom(p, add)
	if d.nWeighed == 0 {
		r.addAny(p, add)
	}
	return found
}

func (d *Decision) has(slot masticcache.Slot) bool {
	for _, c := range d.Weighed() {
		if c.Slot == slot {
			return true
		}
	}
	return false
}

func (r *Router) fits(now time.Time, s *server, q *Query) bool {
	if !s.usable(now) || slices.Contains(q.Avoid, s.info.Name) {
		return false
	}
	return !q.Suspect || s.suspects == 0
}

func (r *Router) predict(now time.Time, slot masticcache.Slot, reason Reason, class masticview.Class, tokens int64) Candidate {
	s := r.servers[slot]
	speed := s.speed(now, r.speeds)
	cached := r.lookup.Cached(now, slot)
	uncached := max(0, float64(tokens)-cached)
	wait := s.wait(now, class, speed, r.urgentShare())
	if class == masticview.ClassQuick && reason != ReasonReserve {
		wait = max(wait, seconds(unseenTokens/speed))
	}
	var cost time.Duration
	if class != masticview.ClassQuick {
		cost = seconds(evictionCost * r.beliefs.Churn(now, slot, r.engines) * uncached / r.speeds)
	}
	return Candidate{
		Slot: slot, Reason: reason, Cached: cached,
		Wait: wait, Prefill: seconds(uncached / speed), Cost: cost,
	}
}

// open reports whether s may get work with the predicted wait at once. The quick class
// does not wait for other work, since engines put it first. A request waits in the
// queue no longer than it would wait at the backend server.
func (r *Router) open(s *server, wait time.Duration, q *Query) bool {
	if s.load.running == 0 {
		return true
	}
	if slots := s.load.report.Slots; slots > 0 && int64(s.load.running)+s.load.othersRunning >= slots+maxExtraRunning {
		return false
	}
	return q.Class == masticview.ClassQuick || wait <= max(windowSpan, q.Waited)
}

func (r *Router) addHolders(add func(masticcache.Slot, Reason) bool) {
	n := 0
	r.lookup.Holders(func(slot masticcache.Slot) bool {
		n++
		return add(slot, ReasonHolder) && n < maxHolderCandidates
	})
}

// addHomes adds the first backend servers on the ring for each level but the last,
// which seldom comes again.
func (r *Router) addHomes(p *pool, pieces []masticprompt.Piece, add func(masticcache.Slot, Reason) bool) {
	for i := len(pieces) - 1; i >= 0; i-- {
		if !pieces[i].Last || (i == len(pieces)-1 && pieces[i].Level > 0) {
			continue
		}
		seen := [homesPerLevel]masticcache.Slot{}
		n := 0
		p.ring.walk(pieces[i].ID.Hash(), walkLimit, func(slot masticcache.Slot) bool {
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
		add(p.slots[r.source.IntN(len(p.slots))], ReasonRandom)
	}
}

// addAny looks for one usable backend server where no candidate was.
func (r *Router) addAny(p *pool, add func(masticcache.Slot, Reason) bool) {
	from := r.source.IntN(len(p.slots))
	for i := range p.slots {
		add(p.slots[(from+i)%len(p.slots)], ReasonAny)
	}
}
