package masticroute

import (
	"math"
	"time"
)

const (
	// drainHalfLife is the half-life of what two reports show.
	drainHalfLife = 20 * time.Second
	// minDrainBusy is the least busy time that measures a speed.
	minDrainBusy = 2 * time.Second
)

// drain measures a prefill speed from the reports of a backend server, for as long as
// no own request has measured it: the work that left the queue while it was not empty.
// Work that comes in between hides work that leaves, so it bounds the speed from below.
type drain struct {
	busy   time.Duration
	tokens float64
}

// observe takes two reports in a row.
func (d *drain) observe(before, after Report) {
	span := after.AsOf.Sub(before.AsOf)
	if before.QueuedTokens == 0 || before.AsOf.IsZero() || span <= 0 || span > reportAge {
		return
	}
	keep := math.Exp2(-float64(span) / float64(drainHalfLife))
	d.busy = time.Duration(keep*float64(d.busy)) + span
	d.tokens = keep*d.tokens + float64(max(0, before.QueuedTokens-after.QueuedTokens))
}

// speed returns the measured speed, or the given one while there is none.
func (d *drain) speed(unknown float64) float64 {
	if d.busy < minDrainBusy {
		return unknown
	}
	return max(1, d.tokens/d.busy.Seconds())
}
