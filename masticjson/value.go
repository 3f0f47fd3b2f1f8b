package masticjson

import (
	"encoding/json"
	"strings"
)

const (
	// maxLiteralBytes bounds a number. Those of encoding/json have no bound, but no field needs longer ones.
	maxLiteralBytes = 4 << 10
	// maxNesting bounds the depth of a value, and so the memory of one without an end.
	maxNesting = 1 << 20
)

// valueReader reads values and checks their syntax byte by byte, without recursion, so that it stops at the first byte
// that is damaged. It keeps at most maxBytes of a value.
type valueReader struct {
	input    window
	maxBytes int
	// raw is the value that is read. It is reused for the next one.
	raw  []byte
	fits bool
	// nesting is the opening brackets around the next byte.
	nesting []byte
	// word is the number or name that is read. It is reused too.
	word []byte
}

// value reads one value and reports whether it is within the bound. The value is valid until the next call.
func (v *valueReader) value() (json.RawMessage, bool, error) {
	v.raw, v.nesting, v.fits = v.raw[:0], v.nesting[:0], true
	for {
		if err := v.begin(); err != nil {
			return nil, false, err
		}
		ended, err := v.end()
		if err != nil {
			return nil, false, err
		}
		if ended {
			return v.raw, v.fits, nil
		}
	}
}

// begin reads up to the end of the first value that is no array or object, or that is empty.
func (v *valueReader) begin() error {
	for {
		c, err := v.token()
		if err != nil {
			return err
		}
		switch c {
		case '{', '[':
			if len(v.nesting) == maxNesting {
				return errMalformed
			}
			v.nesting = append(v.nesting, c)
		case '"':
			return v.text()
		default:
			return v.literal(c)
		}
		following, err := v.input.peek()
		switch {
		case err != nil:
			return err
		case following == closing(c):
			return nil
		case c == '{':
			if err := v.name(); err != nil {
				return err
			}
		}
	}
}

// end reads what follows a value, up to the begin of the next one, and reports whether the outermost value has ended.
func (v *valueReader) end() (bool, error) {
	for len(v.nesting) > 0 {
		innermost := len(v.nesting) - 1
		c, err := v.token()
		switch {
		case err != nil:
			return false, err
		case c == ',' && v.nesting[innermost] == '[':
			return false, nil
		case c == ',':
			return false, v.name()
		case c != closing(v.nesting[innermost]):
			return false, errMalformed
		}
		v.nesting = v.nesting[:innermost]
	}
	return true, nil
}

// closing returns the closing bracket of an opening one.
func closing(opening byte) byte {
	if opening == '{' {
		return '}'
	}
	return ']'
}

// name reads the name of a member and the colon.
func (v *valueReader) name() error {
	if err := v.expect('"'); err != nil {
		return err
	}
	if err := v.text(); err != nil {
		return err
	}
	return v.expect(':')
}

// expect reads the byte wanted, after any white space.
func (v *valueReader) expect(wanted byte) error {
	c, err := v.token()
	if err == nil && c != wanted {
		err = errMalformed
	}
	return err
}

// text reads the rest of a string.
func (v *valueReader) text() error {
	for {
		c, err := v.take()
		switch {
		case err != nil:
			return err
		case c == '"':
			return nil
		case c < ' ':
			return errMalformed
		case c == '\\':
			if err := v.escape(); err != nil {
				return err
			}
		}
	}
}

// escape reads an escape sequence behind its backslash.
func (v *valueReader) escape() error {
	c, err := v.take()
	if err != nil {
		return err
	}
	if c != 'u' {
		if escapes[c] == 0 {
			return errMalformed
		}
		return nil
	}
	for range 4 {
		c, err := v.take()
		if err != nil {
			return err
		}
		if strings.IndexByte("0123456789abcdefABCDEF", c) < 0 {
			return errMalformed
		}
	}
	return nil
}

// literal reads a number, true, false or null, whose first byte is c.
func (v *valueReader) literal(c byte) error {
	v.word = append(v.word[:0], c)
	for len(v.word) < maxLiteralBytes {
		c, err := v.input.ReadByte()
		if err != nil {
			return err
		}
		if strings.IndexByte("+-.0123456789Eaeflnrstu", c) < 0 {
			if err := v.input.UnreadByte(); err != nil {
				return err
			}
			break
		}
		v.word = append(v.word, c)
		v.append(c)
	}
	if !json.Valid(v.word) {
		return errMalformed
	}
	return nil
}

// token takes the next byte that is no white space.
func (v *valueReader) token() (byte, error) {
	c, err := v.input.next()
	if err == nil {
		v.append(c)
	}
	return c, err
}

// take takes the next byte.
func (v *valueReader) take() (byte, error) {
	c, err := v.input.ReadByte()
	if err == nil {
		v.append(c)
	}
	return c, err
}

// append adds a byte to the value, while that is within the bound.
func (v *valueReader) append(c byte) {
	if v.fits = v.fits && len(v.raw) < v.maxBytes; v.fits {
		v.raw = append(v.raw, c)
	}
}
