package masticjson

import (
	"bufio"
	"errors"
	"io"
)

// maxRescannedBytes bounds the bytes that are read again after damaged elements of one input, so that reading takes
// a time in proportion to the size of the input.
const maxRescannedBytes = 16 << 20

var (
	errMalformed = errors.New("malformed JSON")
	// errTruncated is the malformed JSON of an input that ends too soon.
	errTruncated = errors.Join(errMalformed, io.ErrUnexpectedEOF)
	errRescans   = errors.New("too many bytes had to be read again after damaged elements")
)

// window reads bytes and can return to a marked one.
type window struct {
	reader *bufio.Reader
	// kept is what was read since the mark, at most maxBytes; position is the index in it of the next byte.
	kept     []byte
	position int
	maxBytes int
	// overflowed reports that more than maxBytes were read since the mark.
	overflowed bool
	rescanned  int
}

// ReadByte returns the next byte. It returns errTruncated at the end of the input.
func (w *window) ReadByte() (byte, error) {
	if w.position < len(w.kept) {
		if w.rescanned++; w.rescanned > maxRescannedBytes {
			return 0, errRescans
		}
		w.position++
		return w.kept[w.position-1], nil
	}
	c, err := w.reader.ReadByte()
	switch {
	case err == io.EOF:
		return 0, errTruncated
	case err != nil:
		return 0, err
	case len(w.kept) < w.maxBytes:
		w.kept = append(w.kept, c)
		w.position++
	default:
		w.overflowed = true
	}
	return c, nil
}

// UnreadByte returns the byte that ReadByte returned last.
func (w *window) UnreadByte() error {
	if w.overflowed || w.maxBytes == 0 {
		return w.reader.UnreadByte()
	}
	w.position--
	return nil
}

// next returns the next byte that is no white space.
func (w *window) next() (byte, error) {
	for {
		c, err := w.ReadByte()
		if err != nil || !isSpace(c) {
			return c, err
		}
	}
}

// peek returns the next byte that is no white space, and leaves it unread.
func (w *window) peek() (byte, error) {
	c, err := w.next()
	if err != nil {
		return c, err
	}
	return c, w.UnreadByte()
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// mark marks the next byte.
func (w *window) mark() {
	if w.position == len(w.kept) {
		w.kept = w.kept[:0]
	} else {
		w.kept = w.kept[w.position:]
	}
	w.position, w.overflowed = 0, false
}

// rewind returns to the mark. It reports false, and changes nothing, if that is too far back.
func (w *window) rewind() bool {
	if w.overflowed || w.maxBytes == 0 {
		return false
	}
	w.position = 0
	return true
}
