package masticbody

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

func TestReadBody(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 10_000)
	for _, x := range []struct {
		name          string
		content       string
		length, limit int64
		budget        int64
		err           error
	}{
		{"empty", "", 0, 0, 0, nil},
		{"stated length", "body", 4, 4, 1 << 10, nil},
		{"no stated length", "body", -1, 4, 8 << 10, nil},
		{"no stated length, empty", "", -1, 0, 8 << 10, nil},
		{"long", long, int64(len(long)), 0, 1 << 20, nil},
		{"long without a stated length", long, -1, 0, 1 << 20, nil},
		{"exactly one block", long[:blockBytes], blockBytes, 0, 1 << 20, nil},
		{"stated length over the limit", long, int64(len(long)), 1000, 1 << 20, ErrTooLarge},
		{"over the limit", long, -1, 1000, 1 << 20, ErrTooLarge},
		{"over the budget", long, -1, 0, 40 << 10, ErrBudget},
		{"shorter than stated", "body", 5, 0, 1 << 10, io.ErrUnexpectedEOF},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			b := NewBudget(x.budget)
			r := b.Reader(iotest.HalfReader(strings.NewReader(x.content)))
			body, err := r.ReadBody(x.length, x.limit)
			c.Assert(errors.Is(err, x.err), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(b.Used() <= x.budget, qt.IsTrue)
			if err == nil {
				var out bytes.Buffer
				n, err := body.WriteTo(&out)
				c.Assert(err, qt.IsNil)
				c.Assert(n, qt.Equals, body.Len())
				c.Assert(out.String(), qt.Equals, x.content)
			}
			r.Release()
			c.Assert(b.Used(), qt.Equals, int64(0))
		})
	}
}

// TestReadAll checks that a contiguous body is complete, is not one of the reused blocks, and is counted.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 4, firstBlockBytes, blockBytes + firstBlockBytes, 10 * blockBytes} {
		for _, length := range []int64{int64(size), -1} {
			c := qt.New(t)
			content := strings.Repeat("x", size)
			b := NewBudget(4 << 20)
			r := b.Reader(strings.NewReader(content))
			whole, err := r.ReadAll(length, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(string(whole), qt.Equals, content)
			c.Assert(b.Used() >= int64(size), qt.IsTrue)
			r.Release()
			c.Assert(b.Used(), qt.Equals, int64(0))
			other := b.Reader(strings.NewReader(strings.Repeat("y", size)))
			_, err = other.ReadBody(length, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(string(whole), qt.Equals, content)
		}
	}
}

// TestTruncatedBodyIsNotComplete checks that a chunked body which ends early is no complete one.
func TestTruncatedBodyIsNotComplete(t *testing.T) {
	c := qt.New(t)
	truncated := io.MultiReader(strings.NewReader("body"), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err := NewBudget(1<<20).Reader(truncated).ReadBody(-1, 0)
	c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
}

// TestCallersThatSendNothingFillTheBudget: a caller held as much as its body was going to have, up to 32 KiB,
// before it had sent any of it.
func TestCallersThatSendNothingFillTheBudget(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(1 << 20)
	r := b.Reader(iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err := r.ReadBody(1<<20, 0)
	c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	c.Assert(b.Used(), qt.Equals, int64(firstBlockBytes))
}

// TestBodyTakesSeveralTimesItsSize: a body that was being read took up to five times the bytes that were
// counted, in copies made while its buffer grew.
func TestBodyTakesSeveralTimesItsSize(t *testing.T) {
	c := qt.New(t)
	content := strings.Repeat("x", 4<<20)
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r := NewBudget(8 << 20).Reader(strings.NewReader(content))
			if _, err := r.ReadBody(-1, 0); err != nil {
				b.Fatal(err)
			}
		}
	})
	c.Assert(float64(result.AllocedBytesPerOp()) <= 1.1*float64(len(content)), qt.IsTrue, qt.Commentf("%d bytes", result.AllocedBytesPerOp()))
	result = testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			budget := NewBudget(9 << 20)
			r := budget.Reader(strings.NewReader(content))
			if _, err := r.ReadAll(-1, 0); err != nil {
				b.Fatal(err)
			}
			r.Release()
		}
	})
	c.Assert(float64(result.AllocedBytesPerOp()) <= 2.1*float64(len(content)), qt.IsTrue, qt.Commentf("%d bytes", result.AllocedBytesPerOp()))
}
