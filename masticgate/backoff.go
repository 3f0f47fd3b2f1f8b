package masticgate

import (
	"context"
	"math/rand/v2"
	"time"

	"masticladder/masticretry"
)

// backOff waits before the given attempt, counted from one, with jitter, so that many requests
// that lost the same backend server do not reach the others at once. It reports false if the
// request would end first.
func backOff(ctx context.Context, now time.Time, attempt int) bool {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(time.Hour)
	}
	at, inTime := masticretry.Backoff(now, deadline, attempt, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return inTime && sleep(ctx, at.Sub(now))
}
