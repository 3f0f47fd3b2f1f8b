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
	// gapWorth is what a belief from before a gap in the events is worth.
	gapWorth = 0.7
	// streamSilence is how long a stream of events is trusted without an event.
	streamSilence = 5 * time.Second
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
	// gaps counts the gaps in the events.
	gaps uint32
}

func newServer() *server { return &server{halfLife: startHalfLife} }

// worth returns the likelihood, 0 to 1, that the belief h still holds.
func (s *server) worth(now time.Time, h *holder) float64 {
	current := h.gaps == s.gaps
	if h.listed && current && now.Sub(s.lastEvent) <= streamSilence {
		return 1
	}
	w := math.Exp2(-float64(max(0, now.Sub(h.at))) / float64(s.halfLife))
	if s.streaming && !current {
		w *= gapWorth
	}
	return w
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
