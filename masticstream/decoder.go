package masticstream

import (
	"bytes"
	"errors"
	"strconv"
)

// Sizes of a decoder's buffer, in bytes.
const (
	initialBufferBytes = 4 << 10
	// DefaultMaxEventBytes limits the size of one event, and thereby the buffer of one stream.
	DefaultMaxEventBytes = 256 << 10
)

// ErrEventTooLarge is returned by Next for an event that exceeds the decoder's limit.
var ErrEventTooLarge = errors.New("stream event is over its size limit")

// Decoder decodes events from the bytes of a server-sent event stream. The caller reads bytes into
// Space, reports their number to Advance, and then calls Next. The buffer never exceeds the limit
// given to NewDecoder.
type Decoder struct {
	buffer []byte
	start  int
	limit  int
	// lastRequestID is the last request identifier as a string. Events with the same identifier
	// share it, which avoids an allocation per event.
	lastRequestID string
}

// NewDecoder returns a decoder for events of up to limit bytes.
func NewDecoder(limit int) *Decoder {
	return &Decoder{buffer: make([]byte, 0, min(initialBufferBytes, limit)), limit: limit}
}

// Space returns the free part of the buffer, for reading into. It is empty when the buffer holds
// limit bytes. The call invalidates the Data of earlier events.
func (d *Decoder) Space() []byte {
	d.compact()
	if len(d.buffer) == cap(d.buffer) && cap(d.buffer) < d.limit {
		d.grow()
	}
	return d.buffer[len(d.buffer):cap(d.buffer)]
}

// Size returns the size of the buffer.
func (d *Decoder) Size() int { return cap(d.buffer) }

func (d *Decoder) compact() {
	if d.start == 0 {
		return
	}
	n := copy(d.buffer, d.buffer[d.start:])
	d.buffer = d.buffer[:n]
	d.start = 0
}

func (d *Decoder) grow() {
	larger := make([]byte, len(d.buffer), min(2*cap(d.buffer), d.limit))
	copy(larger, d.buffer)
	d.buffer = larger
}

// Advance appends the first n bytes of the last Space to the data to decode.
func (d *Decoder) Advance(n int) { d.buffer = d.buffer[:len(d.buffer)+n] }

// Next returns the next complete event, or false if more bytes are needed. It returns
// ErrEventTooLarge if an incomplete event fills the buffer.
func (d *Decoder) Next() (Event, bool, error) {
	var e Event
	p := d.start
	for {
		i := bytes.IndexByte(d.buffer[p:], '\n')
		if i < 0 {
			return Event{}, false, d.checkLimit()
		}
		line := bytes.TrimSuffix(d.buffer[p:p+i], []byte("\r"))
		p += i + 1
		if len(line) > 0 {
			d.parseField(&e, line)
			continue
		}
		d.start = p
		if e.Data != nil {
			return e, true, nil
		}
		e = Event{}
	}
}

func (d *Decoder) checkLimit() error {
	if len(d.buffer)-d.start >= d.limit {
		return ErrEventTooLarge
	}
	return nil
}

func (d *Decoder) parseField(e *Event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		e.Data = appendDataLine(e.Data, value)
	case "id":
		d.parseID(e, value)
	}
}

// appendDataLine joins the data lines of one event with line feeds, as the protocol of server-sent
// events requires.
func appendDataLine(data, line []byte) []byte {
	if data == nil {
		return line[:len(line):len(line)]
	}
	data = append(data, '\n')
	return append(data, line...)
}

// parseID parses an event identifier of the form "requestID/number". It ignores any other form.
func (d *Decoder) parseID(e *Event, value []byte) {
	i := bytes.LastIndexByte(value, '/')
	if i < 0 {
		return
	}
	n, err := strconv.ParseUint(string(value[i+1:]), 10, 64)
	if err != nil {
		return
	}
	if d.lastRequestID != string(value[:i]) {
		d.lastRequestID = string(value[:i])
	}
	e.RequestID, e.Number, e.Numbered = d.lastRequestID, n, true
}

// AppendEvent appends the wire form of one event to b.
func AppendEvent(b []byte, requestID string, number uint64, data []byte) []byte {
	b = append(b, "id: "...)
	b = append(b, requestID...)
	b = append(b, '/')
	b = strconv.AppendUint(b, number, 10)
	b = append(b, "\ndata: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}
