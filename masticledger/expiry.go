package masticledger

import (
	"maps"
	"slices"
)

// expirySlotMillis is the width of one slot of retention deadlines, in milliseconds.
const expirySlotMillis = 60_000

// expiry finds the records that are due. An identifier may stand in several slots.
type expiry struct {
	slots map[int64][]orderID
	// first is the earliest slot, where there is one.
	first int64
}

func newExpiry() expiry { return expiry{slots: make(map[int64][]orderID)} }

func (e *expiry) add(id orderID, untilMs int64) {
	s := untilMs/expirySlotMillis + 1
	if len(e.slots) == 0 || s < e.first {
		e.first = s
	}
	e.slots[s] = append(e.slots[s], id)
}

// due removes and returns the identifiers of all slots that have ended by nowMs.
func (e *expiry) due(nowMs int64) []orderID {
	if len(e.slots) == 0 || e.first*expirySlotMillis > nowMs {
		return nil
	}
	var out []orderID
	for _, s := range slices.Sorted(maps.Keys(e.slots)) {
		if s*expirySlotMillis > nowMs {
			e.first = s
			break
		}
		out = append(out, e.slots[s]...)
		delete(e.slots, s)
	}
	return out
}
