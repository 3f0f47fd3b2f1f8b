package masticcache

import (
	"math"
	"time"
)

const (
	// startHalfLife is the age at which a belief is worth half before anything is learned.
	startHalfLife = 20 * time.Second
	minHalfLife   = 500 * time.Millisecond
	maxHalfLife   = 10 * time.Minute
	// hitGrowth and missShrink move the half-life after a belief proved right or wrong.
	hitGrowth  = 1.05
	missShrink = 0.8
	// removalGain is the weight of one removal in the half-life.
	removalGain = 0.05
	// removedShare is the share of removals among the events of a full cache.
	removedShare = 0.5
	// churnHalfLife is the half-life of the count of stored pieces.
	churnHalfLife = 20 * time.Second
	// minChurn is the mean count of stored pieces below which churn says nothing.
	minChurn = 2
	// streamSilence is how long a stream of events is trusted without an event.
	streamSilence = time.Minute
)

// server is what is known of one slot's cache as a whole.
type server struct {
	epoch    Epoch
	halfLife time.Duration
	// next is the number of the next event expected.
	next uint64
	// streaming reports that an event of this epoch has been seen.
	streaming bool
	lastEvent time.Time
	// listed is the number of pieces that events have named as stored and not as removed.
	listed int
	// doubt is the sum over all gaps of the removals lost for each listed piece.
	doubt float64
	// churn is the decayed number of pieces stored, as of churnAt.
	churn   float64
	churnAt time.Time
	// capacity is the room of the cache in tokens, zero where it is not known; written is
	// the sum of all pieces written to it.
	capacity, written float64
}

const (
	// sureShare is the share of the capacity after whose writing the first beliefs are doubted:
	// running requests use a part of the memory.
	sureShare = 0.75
	// lostShare is the share after whose writing they are lost.
	lostShare = 1.05
)

// evicted returns the likelihood, 0 to 1, that h was evicted by what was written since.
func (s *server) evicted(h *holder) float64 {
	if s.capacity == 0 {
		return 0
	}
	part := (s.written - h.written) / s.capacity
	return min(1, max(0, (part-sureShare)/(lostShare-sureShare)))
}

// churnNow returns the decayed number of pieces stored.
func (s *server) churnNow(now time.Time) float64 {
	return s.churn * math.Exp2(-float64(max(0, now.Sub(s.churnAt)))/float64(churnHalfLife))
}

// store counts a stored piece.
func (s *server) store(now time.Time) {
	s.churn = s.churnNow(now) + 1
	s.churnAt = now
}

func newServer() *server { return &server{halfLife: startHalfLife} }

// worth returns the likelihood, 0 to 1, that the belief h still holds.
func (s *server) worth(now time.Time, h *holder) float64 {
	if s.capacity > 0 {
		return 1 - s.evicted(h)
	}
	age := float64(max(0, now.Sub(h.at))) / float64(s.halfLife)
	if h.listed && now.Sub(s.lastEvent) <= streamSilence {
		// The cache evicts what was not used for long, so lost removals were not of young pieces.
		return math.Exp((h.doubt - s.doubt) * min(1, age*age))
	}
	return math.Exp2(-age)
}

// removed learns the half-life from the age at which a piece was removed.
func (s *server) removed(age time.Duration) {
	s.halfLife += time.Duration(removalGain * float64(age-s.halfLife))
	s.halfLife = min(maxHalfLife, max(minHalfLife, s.halfLife))
}

// miss records that events were lost: each listed piece may have been removed by one of them.
func (s *server) miss(lost uint64) {
	s.doubt += removedShare * float64(lost) / float64(max(1, s.listed))
}

// learn moves the half-life after a belief of the given age proved right or wrong.
func (s *server) learn(age time.Duration, right bool) {
	switch {
	case right && age > s.halfLife/4:
		s.halfLife = min(maxHalfLife, time.Duration(float64(s.halfLife)*hitGrowth))
	case !right && age < s.halfLife*2:
		s.halfLife = max(minHalfLife, time.Duration(float64(s.halfLife)*missShrink))
	}
}
