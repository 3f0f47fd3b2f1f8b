package masticrelay

import (
	"bytes"
	"errors"

	"masticladder/masticbody"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// eventSplitter splits a stream of server-sent events at event boundaries, so that only
// complete events are relayed.
type eventSplitter struct {
	buffer []byte
	// lastID is the identifier of the last complete event that has one.
	lastID string
	// count is the number of complete events.
	count int
	order eventOrder
	// memory is the part of the buffer beyond relayBufferBytes.
	memory *masticbody.Reservation
}

// Reasons not to relay an event.
var (
	errEventTooLarge = errors.New("an event is over the size limit")
	errEventMemory   = errors.New("the parts of events in memory exceed the limit of the host")
	errEventOrder    = errors.New("an event does not follow the one before it")
)

// add appends p to the buffer and returns the complete events in the buffer. The result is
// valid until the next call. With an error, it ends before the event that must not be relayed.
func (e *eventSplitter) add(p []byte) ([]byte, error) {
	e.buffer = append(e.buffer, p...)
	if !e.memory.Resize(int64(max(0, cap(e.buffer)-relayBufferBytes))) {
		return nil, errEventMemory
	}
	end := 0
	for {
		i := eventEnd(e.buffer[end:])
		if i < 0 {
			break
		}
		if !e.record(e.buffer[end : end+i]) {
			return e.buffer[:end], errEventOrder
		}
		end += i
	}
	if len(e.buffer)-end > maxEventBytes {
		return e.buffer[:end], errEventTooLarge
	}
	return e.buffer[:end], nil
}

// discard removes the first n bytes of the buffer, which were relayed.
func (e *eventSplitter) discard(n int) {
	e.buffer = e.buffer[:copy(e.buffer, e.buffer[n:])]
	e.shrink()
}

// shrink releases the memory that a large event took.
func (e *eventSplitter) shrink() {
	if len(e.buffer) == 0 && cap(e.buffer) > relayBufferBytes {
		e.buffer = nil
		e.memory.Release()
	}
}

// resume prepares for the events of another attempt, which follow the event with the given identifier. It removes a
// partial event, since an attempt begins with a complete one.
func (e *eventSplitter) resume(lastID string) {
	e.buffer = e.buffer[:0]
	e.shrink()
	e.order.resume(lastID)
}

// empty reports whether no partial event is buffered.
func (e *eventSplitter) empty() bool { return len(e.buffer) == 0 }

// eventEnd returns the length of the first complete event of b, or -1 if there is none.
func eventEnd(b []byte) int {
	for i := 0; i < len(b); {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return -1
		}
		i += n + 1
		switch {
		case i < len(b) && b[i] == '\n':
			return i + 1
		case i+1 < len(b) && b[i] == '\r' && b[i+1] == '\n':
			return i + 2
		}
	}
	return -1
}

// record counts a complete event and stores its identifier. It reports false if the event does not follow the one before
// it.
func (e *eventSplitter) record(event []byte) bool {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(value))
		if !e.order.accept(id) {
			return false
		}
		e.lastID = id
	}
	e.count++
	return true
}
