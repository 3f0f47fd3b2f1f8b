package masticgate

import (
	"errors"
	"io"
	"sync/atomic"
)

var errBudget = errors.New("the bodies of all requests are over their limit")

// budget bounds the bytes that all running requests hold together.
type budget struct {
	limit int64
	used  atomic.Int64
}

// take reserves n bytes, or none and returns false.
func (b *budget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *budget) give(n int64) { b.used.Add(-n) }

// budgetReader counts what it reads against a budget. What it took is given back by release.
type budgetReader struct {
	reader io.Reader
	budget *budget
	taken  int64
}

// Read reads, and fails when the budget is spent.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 && !r.budget.take(int64(n)) {
		return 0, errBudget
	}
	r.taken += int64(n)
	return n, err
}

func (r *budgetReader) release() {
	r.budget.give(r.taken)
	r.taken = 0
}
