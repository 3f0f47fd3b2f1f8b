package masticrollout

import (
	"math"
	"time"
)

const (
	// Buckets is the number of latency buckets. Bucket 0 is below 1 ms; the others grow by the factor √2, so that the
	// last begins at 23 s.
	Buckets = 31
	// bucketsPerDoubling is the number of buckets between a latency and its double.
	bucketsPerDoubling = 2
)

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	millis := float64(d) / float64(time.Millisecond)
	if millis < 1 {
		return 0
	}
	return min(1+int(bucketsPerDoubling*math.Log2(millis)), Buckets-1)
}

// counts counts answers: bad ones, and the others by latency.
type counts struct {
	bad  int64
	good [Buckets]int64
}

func (c *counts) add(x *counts) {
	c.bad += x.bad
	for i, n := range x.good {
		c.good[i] += n
	}
}

func (c *counts) subtract(x *counts) {
	c.bad -= x.bad
	for i, n := range x.good {
		c.good[i] -= n
	}
}

// total returns the number of answers.
func (c *counts) total() int64 { return c.bad + c.from(0) }

// from returns the number of good answers in a bucket and those above.
func (c *counts) from(bucket int) int64 {
	n := int64(0)
	for _, x := range c.good[max(0, bucket):] {
		n += x
	}
	return n
}
