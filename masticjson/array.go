package masticjson

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
)

// errNoObject means that what is read is no object with the expected members.
var errNoObject = errors.New("not a JSON object")

// maxMembers bounds the members beside the array that are kept.
const maxMembers = 64

// ArrayReader reads an object that has one long array, element by element, and keeps at most one element in memory. The
// types of elements aren't checked, so that one that cannot be decoded does not affect the others.
type ArrayReader struct {
	values valueReader
	// array is the name of the member with the array.
	array string
	// skipsDamaged allows elements that are no objects or whose bytes are damaged.
	skipsDamaged bool
	// comma reports that the last element has a comma behind it.
	comma bool
	// incomplete reports that elements next to a damaged one may be missing.
	incomplete bool
	// Skipped counts the elements and members over the bound, and the damaged elements.
	Skipped int
}

// ArrayOption sets one property of an ArrayReader.
type ArrayOption func(*ArrayReader)

// WithDamagedElementsSkipped lets an ArrayReader skip the elements that are no objects, or whose bytes are no JSON, for
// example because they were cut off. The other elements must be objects. Where one of them begins is only certain
// up to maxRewindBytes after the begin of a damaged one; Read returns an error if that is exceeded.
func WithDamagedElementsSkipped(maxRewindBytes int) ArrayOption {
	return func(a *ArrayReader) { a.skipsDamaged, a.values.input.maxBytes = true, maxRewindBytes }
}

// NewArrayReader returns a reader of an object whose member array has the elements. Values of more than maxBytes are
// skipped.
func NewArrayReader(r io.Reader, array string, maxBytes int, options ...ArrayOption) *ArrayReader {
	a := &ArrayReader{values: valueReader{input: window{reader: bufio.NewReader(r)}, maxBytes: maxBytes}, array: array}
	for _, o := range options {
		o(a)
	}
	return a
}

// Read calls f with each element and returns the other members. The element is valid until f returns. After an error,
// elements may be missing.
func (a *ArrayReader) Read(f func(element json.RawMessage)) (Object, error) {
	o := Object{}
	if c, err := a.values.input.next(); err != nil || c != '{' {
		return o, errors.Join(errNoObject, err)
	}
	err := a.members(o, f)
	if err == nil && a.incomplete {
		err = errMalformed
	}
	return o, err
}

// members reads the members up to the end of the object, with the array.
func (a *ArrayReader) members(o Object, f func(json.RawMessage)) error {
	for first := true; ; first = false {
		c, err := a.values.input.peek()
		if err != nil {
			return err
		}
		if c == '}' {
			return a.rest(o)
		}
		if !first {
			if err := a.values.expect(','); err != nil {
				return err
			}
		}
		name, err := a.name()
		if err != nil {
			return err
		}
		if c, err = a.values.input.peek(); err != nil {
			return err
		}
		if name == a.array && c == '[' {
			return a.elements(o, f)
		}
		if err := a.member(o, name); err != nil {
			return err
		}
	}
}

// rest reads what follows a member, up to the end of the input. It holds no array of elements.
func (a *ArrayReader) rest(o Object) error {
	for {
		c, err := a.values.input.next()
		switch {
		case err != nil:
			return err
		case c == '}':
			return a.ended()
		case c != ',':
			return errMalformed
		}
		name, err := a.name()
		if err != nil {
			return err
		}
		if name == a.array {
			return errMalformed
		}
		if err := a.member(o, name); err != nil {
			return err
		}
	}
}

// ended checks that the input has only white space left, if damaged elements are skipped: else the bracket before may
// be that of an element.
func (a *ArrayReader) ended() error {
	if !a.skipsDamaged {
		return nil
	}
	switch _, err := a.values.input.next(); err {
	case errTruncated:
		return nil
	case nil:
		return errMalformed
	default:
		return err
	}
}

// name reads the name of a member and the colon.
func (a *ArrayReader) name() (string, error) {
	c, err := a.values.input.peek()
	if err != nil {
		return "", err
	}
	if c != '"' {
		return "", errMalformed
	}
	quoted, _, err := a.values.value()
	if err != nil {
		return "", err
	}
	var name string
	if err := json.Unmarshal(quoted, &name); err != nil {
		return "", errMalformed
	}
	return name, a.values.expect(':')
}

// member reads the value of a member that is not the array.
func (a *ArrayReader) member(o Object, name string) error {
	raw, fits, err := a.values.value()
	switch {
	case err != nil:
		return err
	case fits && len(o) < maxMembers:
		o[name] = slices.Clone(raw)
	default:
		a.Skipped++
	}
	return nil
}

// elements reads the array and the rest of the object.
func (a *ArrayReader) elements(o Object, f func(json.RawMessage)) error {
	if err := a.values.expect('['); err != nil {
		return err
	}
	for a.comma = false; ; {
		ended, err := a.element(o, f)
		if errors.Is(err, errMalformed) && a.skipsDamaged {
			err = a.skipDamaged()
		}
		if err != nil || ended {
			return err
		}
	}
}

// element reads one element with its comma, or the end of the array with the rest of the object. It reports whether all
// has been read.
func (a *ArrayReader) element(o Object, f func(json.RawMessage)) (bool, error) {
	a.values.input.mark()
	c, err := a.values.input.peek()
	if err != nil {
		return false, err
	}
	a.values.input.mark()
	if c == ']' && (!a.comma || a.skipsDamaged) {
		return a.endOfArray(o)
	}
	if c != '{' && a.skipsDamaged {
		return false, errMalformed
	}
	raw, fits, err := a.values.value()
	if err != nil {
		return false, err
	}
	// A value that nothing follows is a damaged element together with the rest of the input.
	if c, err = a.values.input.peek(); err != nil {
		return false, err
	}
	if a.comma = c == ','; a.comma {
		_, err = a.values.input.ReadByte()
	} else if c != ']' {
		err = errMalformed
	}
	if err != nil {
		return false, err
	}
	if fits {
		f(raw)
	} else {
		a.Skipped++
	}
	return false, nil
}

// endOfArray reads the bracket that ends the array, and the rest of the object. A bracket with something else behind it
// belongs to a damaged element.
func (a *ArrayReader) endOfArray(o Object) (bool, error) {
	if _, err := a.values.input.ReadByte(); err != nil {
		return false, err
	}
	others := maps.Clone(o)
	if err := a.rest(others); err != nil {
		return false, err
	}
	maps.Copy(o, others)
	return true, nil
}

// skipDamaged moves from the marked byte, with which a damaged element begins, to the next place at which an element
// or the end of the array may begin.
func (a *ArrayReader) skipDamaged() error {
	a.Skipped++
	atMark := a.values.input.rewind()
	a.incomplete = a.incomplete || !atMark
	for previous := byte(0); ; {
		c, err := a.values.input.ReadByte()
		switch {
		case err != nil:
			return err
		case !atMark && (c == ']' || c == '{' && previous == ','):
			return a.values.input.UnreadByte()
		}
		atMark = false
		if !isSpace(c) {
			previous = c
		}
	}
}
