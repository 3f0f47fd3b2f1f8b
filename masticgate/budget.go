package masticgate

import (
	"errors"
	"io"
	"sync/atomic"
)

var errBudgetExceeded = errors.New("request bodies in memory exceed the limit of the host")

// byteBudget bounds the total size of the request bodies that all running requests hold.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes. It reports false, and reserves none, if the limit would be exceeded.
func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// budgetReader counts the bytes that it reads against a budget, until release.
type budgetReader struct {
	reader   io.Reader
	budget   *byteBudget
	reserved int64
}

// Read reads from the underlying reader. It returns errBudgetExceeded if the budget is exhausted.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 && !r.budget.reserve(int64(n)) {
		return 0, errBudgetExceeded
	}
	r.reserved += int64(n)
	return n, err
}

func (r *budgetReader) release() {
	r.budget.release(r.reserved)
	r.reserved = 0
}
