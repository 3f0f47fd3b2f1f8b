// Package masticbody bounds the total size of the request bodies that a host holds.
package masticbody

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrBudget is the error of a read that the budget has no room for.
var ErrBudget = errors.New("request bodies in memory exceed the limit of the host")

// Budget is the number of bytes that the bodies of all requests may have together. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// reserve reserves n bytes. It reports false, and reserves none, if the limit would be exceeded.
func (b *Budget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Reader returns a reader that counts what it reads from r against the budget, until Release.
func (b *Budget) Reader(r io.Reader) *Reader { return &Reader{reader: r, budget: b} }

// Reader reads one body.
type Reader struct {
	reader   io.Reader
	budget   *Budget
	reserved int64
	// pooled are the blocks to reuse.
	pooled []*[blockBytes]byte
}

// Read reads from the underlying reader. It returns ErrBudget if the budget is exhausted.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 && !r.budget.reserve(int64(n)) {
		return 0, ErrBudget
	}
	r.reserved += int64(n)
	return n, err
}

// Release returns what was read to the budget. It is called once the body is not needed any more.
func (r *Reader) Release() {
	r.budget.used.Add(-r.reserved)
	r.reserved = 0
	for _, b := range r.pooled {
		blocks.Put(b)
	}
	r.pooled = nil
}
