package masticretry

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		first, retries := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "workspace"))
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirstAttempt(w)
				first[w]++
			} else if b.TakeRetry(w) {
				retries[w]++
			}
			if float64(retries[w]) > initialBudget+retriesPerRequest*float64(first[w])+1e-9 {
				t.Fatalf("%d retries for %d requests", retries[w], first[w])
			}
		}
	})
}

func TestUnknownWorkspacesGetNoRetryWhenFull(t *testing.T) {
	c := qt.New(t)
	b := NewBudget()
	for i := range maxKeys {
		b.RecordFirstAttempt(fmt.Sprint(i))
	}
	for range 100 {
		c.Assert(b.TakeRetry("one more"), qt.IsFalse)
	}
}

func TestBackoffEndsBeforeDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		deadline := now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "millis")) * time.Millisecond)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		at, ok := Backoff(now, deadline, rapid.IntRange(-1, 100).Draw(t, "attempt"), random)
		if ok && !at.Before(deadline) || at.Before(now) || at.After(now.Add(maxBackoff)) {
			t.Fatalf("retry at %v, deadline %v, ok %v", at, deadline, ok)
		}
	})
}
