package masticclock

import (
	"testing"
	"time"
)

// TestNowIsMonotonicAndMatchesRuntimeClock checks that Now never goes back, and that it matches the
// runtime's clock within a millisecond on a machine that is not suspended.
func TestNowIsMonotonicAndMatchesRuntimeClock(t *testing.T) {
	last := Now()
	for range 1000 {
		before, now, after := time.Now(), Now(), time.Now()
		if now.Before(last) {
			t.Fatalf("Now returned %v after %v", now, last)
		}
		const tolerance = time.Millisecond
		if now.Add(tolerance).Before(before) || now.After(after.Add(tolerance)) {
			t.Fatalf("%v is not between %v and %v", now, before, after)
		}
		last = now
	}
	if d := Until(last.Add(time.Hour)); d > time.Hour || d < time.Hour-time.Minute {
		t.Fatalf("Until an hour from now is %v", d)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
