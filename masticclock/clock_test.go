package masticclock

import (
	"testing"
	"time"
)

// TestNowGoesOnAndAgrees: the time never goes back, and agrees with the runtime's clock on a
// machine that is not suspended.
func TestNowGoesOnAndAgrees(t *testing.T) {
	last := Now()
	for range 1000 {
		before, now, after := time.Now(), Now(), time.Now()
		if now.Before(last) {
			t.Fatalf("%v came after %v", now, last)
		}
		const slack = time.Millisecond
		if now.Add(slack).Before(before) || now.After(after.Add(slack)) {
			t.Fatalf("%v is not between %v and %v", now, before, after)
		}
		last = now
	}
	if d := Until(last.Add(time.Hour)); d > time.Hour || d < time.Hour-time.Minute {
		t.Fatalf("an hour from now is %v away", d)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
