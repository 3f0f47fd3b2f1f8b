package masticcache

import (
	"math"
	"time"
)

const (
	// initialHalfLife is the half-life of cached pieces before anything is learned.
	initialHalfLife = 20 * time.Second
	minHalfLife     = 500 * time.Millisecond
	maxHalfLife     = 10 * time.Minute
	// hitGrowth and missShrink are the factors applied to the half-life after a correct or
	// wrong prediction.
	hitGrowth  = 1.05
	missShrink = 0.8
	// removalLearningRate is the weight of one removal's age in the half-life, as an
	// exponential moving average.
	removalLearningRate = 0.05
	// removalEventShare is the share of removals among the events of a full cache, assumed for
	// lost events.
	removalEventShare = 0.5
	// churnHalfLife is the half-life with which the count of stored pieces decays.
	churnHalfLife = 20 * time.Second
	// minChurn is the mean decayed count of stored pieces below which churn is not meaningful.
	minChurn = 2
	// eventStreamTimeout is how long an event stream is trusted after its last event.
	eventStreamTimeout = time.Minute
)

// cacheState is the state of one slot's cache as a whole.
type cacheState struct {
	epoch    Epoch
	halfLife time.Duration
	// nextEvent is the sequence number of the next expected event.
	nextEvent uint64
	// streamStarted reports whether an event has been applied since the last Reset.
	streamStarted bool
	lastEventAt   time.Time
	// confirmedPieces is the number of pieces that events have reported as stored and not yet
	// as removed.
	confirmedPieces int
	// missedRemovals is the expected number of lost removal events per confirmed piece, summed
	// over all gaps.
	missedRemovals float64
	// churn is the decayed count of stored pieces, as of churnAt.
	churn   float64
	churnAt time.Time
	// capacityTokens is the size of the cache, or zero if it is not known; writtenTokens is
	// the total length of all pieces written to it.
	capacityTokens, writtenTokens float64
}

const (
	// evictionStartShare is the share of the capacity that must be written after a piece's
	// last use before its eviction is considered possible. It is below 1 because running
	// requests use a part of the memory.
	evictionStartShare = 0.75
	// evictionEndShare is the share after which the eviction is considered certain.
	evictionEndShare = 1.05
)

// evictionProbability returns the probability, 0 to 1, that the pieces written after the last
// use of h have evicted it. It returns 0 if the capacity is not known.
func (s *cacheState) evictionProbability(h *holder) float64 {
	if s.capacityTokens == 0 {
		return 0
	}
	share := (s.writtenTokens - h.writtenTokens) / s.capacityTokens
	return min(1, max(0, (share-evictionStartShare)/(evictionEndShare-evictionStartShare)))
}

// decayedChurn returns the decayed count of stored pieces at now.
func (s *cacheState) decayedChurn(now time.Time) float64 {
	return s.churn * math.Exp2(-float64(max(0, now.Sub(s.churnAt)))/float64(churnHalfLife))
}

// countStored counts a stored piece.
func (s *cacheState) countStored(now time.Time) {
	s.churn = s.decayedChurn(now) + 1
	s.churnAt = now
}

func newCacheState() *cacheState { return &cacheState{halfLife: initialHalfLife} }

// probability returns the probability, 0 to 1, that the piece of h is still cached.
func (s *cacheState) probability(now time.Time, h *holder) float64 {
	if s.capacityTokens > 0 {
		return 1 - s.evictionProbability(h)
	}
	age := float64(max(0, now.Sub(h.lastUsed))) / float64(s.halfLife)
	if h.confirmed && now.Sub(s.lastEventAt) <= eventStreamTimeout {
		// The cache evicts the least recently used pieces, so lost removals concerned old
		// pieces rather than young ones.
		return math.Exp((h.missedRemovals - s.missedRemovals) * min(1, age*age))
	}
	return math.Exp2(-age)
}

// learnFromRemoval adjusts the half-life by the age at which a piece was removed.
func (s *cacheState) learnFromRemoval(age time.Duration) {
	s.halfLife += time.Duration(removalLearningRate * float64(age-s.halfLife))
	s.halfLife = min(maxHalfLife, max(minHalfLife, s.halfLife))
}

// recordGap records that events were lost: one of them may have removed a confirmed piece.
func (s *cacheState) recordGap(lost uint64) {
	s.missedRemovals += removalEventShare * float64(lost) / float64(max(1, s.confirmedPieces))
}

// learnFromPrediction adjusts the half-life after a prediction of the given age proved right or
// wrong.
func (s *cacheState) learnFromPrediction(age time.Duration, right bool) {
	switch {
	case right && age > s.halfLife/4:
		s.halfLife = min(maxHalfLife, time.Duration(float64(s.halfLife)*hitGrowth))
	case !right && age < s.halfLife*2:
		s.halfLife = max(minHalfLife, time.Duration(float64(s.halfLife)*missShrink))
	}
}
