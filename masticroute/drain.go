package masticroute

import (
	"math"
	"time"
)

const (
	// drainHalfLife is the half-life of the weight of one pair of reports.
	drainHalfLife = 20 * time.Second
	// minDrainBusyTime is the least observed busy time that gives a speed.
	minDrainBusyTime = 2 * time.Second
)

// drainRate estimates the prefill speed of a backend server from its load reports, until a
// request of this host has measured it: the work that left the queue while the queue was not
// empty. Arriving work hides departing work, so the estimate is a lower bound.
type drainRate struct {
	busyTime time.Duration
	tokens   float64
}

// observe adds the change between two consecutive reports.
func (d *drainRate) observe(before, after LoadReport) {
	interval := after.AsOf.Sub(before.AsOf)
	if before.QueuedTokens == 0 || before.AsOf.IsZero() || interval <= 0 || interval > reportTTL {
		return
	}
	decay := math.Exp2(-float64(interval) / float64(drainHalfLife))
	d.busyTime = time.Duration(decay*float64(d.busyTime)) + interval
	d.tokens = decay*d.tokens + float64(max(0, before.QueuedTokens-after.QueuedTokens))
}

// speed returns the estimated speed in tokens per second, or fallback while there is none.
func (d *drainRate) speed(fallback float64) float64 {
	if d.busyTime < minDrainBusyTime {
		return fallback
	}
	return max(1, d.tokens/d.busyTime.Seconds())
}
