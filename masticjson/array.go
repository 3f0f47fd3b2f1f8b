package masticjson

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
)

// errNoObject means that what is read is no object with the expected members.
var errNoObject = errors.New("not a JSON object")

// maxMembers bounds the members beside the array that are kept.
const maxMembers = 64

// ArrayReader reads an object that has one long array, element by element. It checks no element, so that one that
// cannot be decoded does not affect the others, and keeps at most one in memory.
type ArrayReader struct {
	reader *bufio.Reader
	// array is the name of the member with the array.
	array string
	// maxBytes bounds an element, and the value of any other member.
	maxBytes int
	// Skipped counts the elements and members over the bound.
	Skipped int
}

// NewArrayReader returns a reader of an object whose member array has the elements. Values of more than maxBytes are
// skipped.
func NewArrayReader(r io.Reader, array string, maxBytes int) *ArrayReader {
	return &ArrayReader{reader: bufio.NewReader(r), array: array, maxBytes: maxBytes}
}

// Read calls f with each element and returns the other members. The element is valid until f returns. After an error,
// elements may be missing.
func (a *ArrayReader) Read(f func(element json.RawMessage)) (Object, error) {
	o := Object{}
	if c, err := a.next(); err != nil || c != '{' {
		return o, errors.Join(errNoObject, err)
	}
	for {
		c, err := a.next()
		switch {
		case err != nil:
			return o, err
		case c == '}':
			return o, nil
		case c == ',':
			continue
		case c != '"':
			return o, errNoObject
		}
		if err := a.member(o, f); err != nil {
			return o, err
		}
	}
}

// member reads one member, whose name begins.
func (a *ArrayReader) member(o Object, f func(json.RawMessage)) error {
	if err := a.reader.UnreadByte(); err != nil {
		return err
	}
	quoted, _, err := a.value()
	if err != nil {
		return err
	}
	var name string
	if err := json.Unmarshal(quoted, &name); err != nil {
		return err
	}
	if c, err := a.next(); err != nil || c != ':' {
		return errors.Join(errNoObject, err)
	}
	if name == a.array {
		return a.elements(f)
	}
	raw, fits, err := a.value()
	switch {
	case fits && len(o) < maxMembers:
		o[name] = raw
	case fits:
		a.Skipped++
	}
	return err
}

// elements reads the array. A member that is no array has no elements.
func (a *ArrayReader) elements(f func(json.RawMessage)) error {
	c, err := a.next()
	if err != nil {
		return err
	}
	if c != '[' {
		if err := a.reader.UnreadByte(); err != nil {
			return err
		}
		_, _, err := a.value()
		return err
	}
	for {
		c, err := a.next()
		switch {
		case err != nil:
			return err
		case c == ']':
			return nil
		case c == ',':
			continue
		}
		if err := a.reader.UnreadByte(); err != nil {
			return err
		}
		raw, fits, err := a.value()
		if err != nil {
			return err
		}
		if fits {
			f(raw)
		}
	}
}

// next returns the next byte that is no white space.
func (a *ArrayReader) next() (byte, error) {
	for {
		c, err := a.reader.ReadByte()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil || c != ' ' && c != '\t' && c != '\n' && c != '\r' {
			return c, err
		}
	}
}

// value reads one value and reports whether it is within the bound. It follows strings and brackets only, without
// recursion.
func (a *ArrayReader) value() (json.RawMessage, bool, error) {
	var raw json.RawMessage
	c, err := a.next()
	depth, inString, escaped, fits := 0, false, false, true
	for ; err == nil; c, err = a.reader.ReadByte() {
		ends := false
		switch {
		case inString:
			inString = escaped || c != '"'
			escaped = !escaped && c == '\\'
			ends = !inString && depth == 0
		case c == '"':
			inString = true
		case c == '{' || c == '[':
			depth++
		case depth == 0 && (c == ',' || c == '}' || c == ']' || c == ':' || c == ' ' || c == '\t' || c == '\n' || c == '\r'):
			return a.bounded(raw, fits, a.reader.UnreadByte())
		case c == '}' || c == ']':
			depth--
			ends = depth == 0
		}
		if fits = fits && len(raw) < a.maxBytes; fits {
			raw = append(raw, c)
		}
		if ends {
			return a.bounded(raw, fits, nil)
		}
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return nil, false, err
}

func (a *ArrayReader) bounded(raw json.RawMessage, fits bool, err error) (json.RawMessage, bool, error) {
	if !fits {
		a.Skipped++
		return nil, false, err
	}
	return raw, true, err
}
