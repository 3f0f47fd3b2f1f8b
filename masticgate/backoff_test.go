package masticgate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBackOffSpreadsRetriesWithinTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(10*time.Second))
		defer cancel()
		waits := map[time.Duration]bool{}
		for range 50 {
			began := time.Now()
			c.Assert(backOff(ctx, began, 1), qt.IsTrue)
			waits[time.Since(began)] = true
		}
		c.Assert(len(waits) > 10, qt.IsTrue)
		time.Sleep(11 * time.Second)
		began := time.Now()
		c.Assert(backOff(ctx, began, 1), qt.IsFalse)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}
