package masticstream

import (
	"bytes"
	"errors"
	"strconv"
)

// Sizes of a decoder's buffer, in bytes.
const (
	firstBufferBytes = 4 << 10
	// DefaultMaxEventBytes bounds one event and so the buffer of one stream.
	DefaultMaxEventBytes = 256 << 10
)

// ErrEventTooLarge is returned for an event over the decoder's bound.
var ErrEventTooLarge = errors.New("stream event is over its size limit")

// Decoder takes events from the bytes of a server-sent event stream.
// Its buffer never grows beyond the bound given to NewDecoder.
type Decoder struct {
	buffer []byte
	start  int
	limit  int
	// lastRequest saves a copy of the identifier for each event.
	lastRequest string
}

// NewDecoder returns a decoder for events of up to limit bytes.
func NewDecoder(limit int) *Decoder {
	return &Decoder{buffer: make([]byte, 0, min(firstBufferBytes, limit)), limit: limit}
}

// Space returns free buffer to read into. It is empty when the bound is reached.
func (d *Decoder) Space() []byte {
	d.compact()
	if len(d.buffer) == cap(d.buffer) && cap(d.buffer) < d.limit {
		d.grow()
	}
	return d.buffer[len(d.buffer):cap(d.buffer)]
}

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

// Advance takes the first n bytes of the last Space as read.
func (d *Decoder) Advance(n int) { d.buffer = d.buffer[:len(d.buffer)+n] }

// Next returns the next whole event, and false when more bytes are needed.
func (d *Decoder) Next() (Event, bool, error) {
	var e Event
	p := d.start
	for {
		i := bytes.IndexByte(d.buffer[p:], '\n')
		if i < 0 {
			return Event{}, false, d.checkBound()
		}
		line := bytes.TrimSuffix(d.buffer[p:p+i], []byte("\r"))
		p += i + 1
		if len(line) > 0 {
			d.field(&e, line)
			continue
		}
		d.start = p
		if e.Data != nil {
			return e, true, nil
		}
		e = Event{}
	}
}

func (d *Decoder) checkBound() error {
	if len(d.buffer)-d.start >= d.limit {
		return ErrEventTooLarge
	}
	return nil
}

func (d *Decoder) field(e *Event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		e.Data = joinData(e.Data, value)
	case "id":
		d.identifier(e, value)
	}
}

// joinData joins the data lines of one event as the protocol says.
func joinData(data, line []byte) []byte {
	if data == nil {
		return line[:len(line):len(line)]
	}
	data = append(data, '\n')
	return append(data, line...)
}

// identifier reads "requestID/number".
func (d *Decoder) identifier(e *Event, value []byte) {
	i := bytes.LastIndexByte(value, '/')
	if i < 0 {
		return
	}
	n, err := strconv.ParseUint(string(value[i+1:]), 10, 64)
	if err != nil {
		return
	}
	if d.lastRequest != string(value[:i]) {
		d.lastRequest = string(value[:i])
	}
	e.RequestID, e.Number, e.Numbered = d.lastRequest, n, true
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
