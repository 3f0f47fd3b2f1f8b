package masticrelay

import "strconv"

// eventOrder checks the identifiers of a stream's events over all attempts. Those of this protocol are increasing numbers;
// others are not checked.
type eventOrder struct {
	// last is the number of the last event, valid if known is set.
	last  uint64
	known bool
	// steps counts the events that followed one another by one, gaps those that did not.
	steps, gaps int
	// resumed reports that the next event is the first of an attempt that goes on.
	resumed bool
}

// minSteps is the number of events that must follow one another by one before a gap between two attempts counts as missing
// events.
const minSteps = 2

// resume prepares for the first event of an attempt that goes on after the event with an identifier.
func (o *eventOrder) resume(lastID string) {
	n, err := strconv.ParseUint(lastID, 10, 64)
	if err != nil {
		return
	}
	o.last, o.known, o.resumed = n, true, true
}

// accept reports whether an event with an identifier may follow.
func (o *eventOrder) accept(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	resumed := o.resumed
	o.resumed = false
	if !o.known {
		o.last, o.known = n, true
		return true
	}
	if n <= o.last {
		return false
	}
	follows := n == o.last+1
	if resumed && !follows && o.gaps == 0 && o.steps >= minSteps {
		return false
	}
	if follows {
		o.steps++
	} else {
		o.gaps++
	}
	o.last = n
	return true
}
