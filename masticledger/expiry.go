package masticledger

import (
	"maps"
	"slices"
)

// expirySlotMillis is the width of one slot of the expiry index in milliseconds.
const expirySlotMillis = 60_000

// expiry indexes the records by their retention deadline, in slots of a fixed width. An
// identifier may be in several slots, because add does not remove the previous entry.
type expiry struct {
	slots map[int64][]orderID
	// firstSlot is the earliest slot; undefined if there are no slots.
	firstSlot int64
}

func newExpiry() expiry { return expiry{slots: make(map[int64][]orderID)} }

func (e *expiry) add(id orderID, retainUntilMs int64) {
	s := retainUntilMs/expirySlotMillis + 1
	if len(e.slots) == 0 || s < e.firstSlot {
		e.firstSlot = s
	}
	e.slots[s] = append(e.slots[s], id)
}

// popDue removes the slots that ended by nowMs and returns their identifiers.
func (e *expiry) popDue(nowMs int64) []orderID {
	if len(e.slots) == 0 || e.firstSlot*expirySlotMillis > nowMs {
		return nil
	}
	var out []orderID
	for _, s := range slices.Sorted(maps.Keys(e.slots)) {
		if s*expirySlotMillis > nowMs {
			e.firstSlot = s
			break
		}
		out = append(out, e.slots[s]...)
		delete(e.slots, s)
	}
	return out
}
