package masticcourse

import "bytes"

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// events splits a stream of server-sent events at their ends, so that only whole ones are
// passed on.
type events struct {
	rest []byte
	// last is the identifier of the last whole event.
	last string
	// count is the number of whole events.
	count int
}

// take adds what was read and returns the whole events in it. The result is valid until the
// next call. It reports false when an event is over the bound.
func (e *events) take(p []byte) ([]byte, bool) {
	e.rest = append(e.rest, p...)
	end := 0
	for {
		i := eventEnd(e.rest[end:])
		if i < 0 {
			break
		}
		e.note(e.rest[end : end+i])
		end += i
	}
	return e.rest[:end], len(e.rest)-end <= maxEventBytes
}

// drop removes the n bytes that were passed on.
func (e *events) drop(n int) {
	e.rest = e.rest[:copy(e.rest, e.rest[n:])]
}

// cut forgets a part of an event; a stream that goes on begins with a whole one.
func (e *events) cut() { e.rest = e.rest[:0] }

// whole reports that no part of an event is left.
func (e *events) whole() bool { return len(e.rest) == 0 }

// eventEnd returns the length of the first whole event of b, or -1.
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

// note records the identifier of a whole event.
func (e *events) note(event []byte) {
	e.count++
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			e.last = string(bytes.TrimSpace(value))
		}
	}
}
