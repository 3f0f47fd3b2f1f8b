package masticbody

import (
	"errors"
	"io"
	"sync"
)

const (
	// blockBytes is the size of the blocks of a body, firstBlockBytes the largest size of the first one, which
	// a caller holds before it has sent anything. minBlockBytes is the least that a block counts.
	blockBytes      = 32 << 10
	firstBlockBytes = 4 << 10
	minBlockBytes   = 512
)

// ErrTooLarge is the error of a body over its own limit.
var ErrTooLarge = errors.New("the body is over its size limit")

var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// Body is a complete body in blocks. Growing it copies nothing.
type Body [][]byte

// Of returns a body of one block.
func Of(p []byte) Body { return Body{p} }

// Len returns the length in bytes.
func (b Body) Len() int64 {
	var n int64
	for _, p := range b {
		n += int64(len(p))
	}
	return n
}

// WriteTo writes the body to w. It implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, p := range b {
		n, err := w.Write(p)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// ReadBody reads a whole body whose stated length is length, negative if there is none. It counts the
// memory of the blocks, filled or not, against the budget, which is valid until Release. The error is
// ErrBudget, ErrTooLarge if the body has more than limit bytes and limit is not zero, or that of the
// underlying reader.
func (r *Reader) ReadBody(length, limit int64) (Body, error) {
	if limit > 0 && length > limit {
		return nil, ErrTooLarge
	}
	var body Body
	var total int64
	for length != total {
		block, err := r.newBlock(length, total)
		if err != nil {
			return nil, err
		}
		n, err := r.fill(block)
		total += int64(n)
		if n > 0 {
			body = append(body, block[:n])
		}
		switch {
		case limit > 0 && total > limit:
			return nil, ErrTooLarge
		case err == io.EOF && length >= 0 && total < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}

// ReadAll is ReadBody for callers that need one contiguous slice, which is not reused after Release. The copy
// counts against the budget too while it is made.
func (r *Reader) ReadAll(length, limit int64) ([]byte, error) {
	body, err := r.ReadBody(length, limit)
	if err != nil || len(body) == 0 {
		return nil, err
	}
	if len(body) == 1 && len(r.pooled) == 0 {
		return body[0], nil
	}
	size := body.Len()
	if !r.budget.reserve(size) {
		return nil, ErrBudget
	}
	whole := make([]byte, 0, size)
	for _, p := range body {
		whole = append(whole, p...)
	}
	r.Release()
	r.reserved = size
	return whole, nil
}

// fill reads until p is full or the underlying reader returns an error, which it returns unchanged: the end
// of a body must not be confused with its truncation.
func (r *Reader) fill(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		k, err := r.reader.Read(p[n:])
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// newBlock returns the next block of a body of which total bytes have been read.
func (r *Reader) newBlock(length, total int64) ([]byte, error) {
	size := int64(blockBytes)
	if total == 0 {
		size = firstBlockBytes
	}
	if length >= 0 {
		size = min(size, length-total)
	}
	reserved := max(size, minBlockBytes)
	if !r.budget.reserve(reserved) {
		return nil, ErrBudget
	}
	r.reserved += reserved
	if size < blockBytes {
		return make([]byte, size), nil
	}
	b := blocks.Get().(*[blockBytes]byte)
	r.pooled = append(r.pooled, b)
	return b[:], nil
}
