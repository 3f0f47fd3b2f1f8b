package masticrelay

import "bytes"

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
}

// add appends p to the buffer and returns the complete events in the buffer. The result is
// valid until the next call. It reports false if an event exceeds maxEventBytes.
func (e *eventSplitter) add(p []byte) ([]byte, bool) {
	e.buffer = append(e.buffer, p...)
	end := 0
	for {
		i := eventEnd(e.buffer[end:])
		if i < 0 {
			break
		}
		e.record(e.buffer[end : end+i])
		end += i
	}
	return e.buffer[:end], len(e.buffer)-end <= maxEventBytes
}

// discard removes the first n bytes of the buffer, which were relayed.
func (e *eventSplitter) discard(n int) {
	e.buffer = e.buffer[:copy(e.buffer, e.buffer[n:])]
}

// discardPartial removes a partial event: a resumed stream begins with a complete event.
func (e *eventSplitter) discardPartial() { e.buffer = e.buffer[:0] }

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

// record counts a complete event and stores its identifier.
func (e *eventSplitter) record(event []byte) {
	e.count++
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			e.lastID = string(bytes.TrimSpace(value))
		}
	}
}
